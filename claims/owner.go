package claims

import (
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/peer"
)

// maxSpanLinks bounds the number of callers that the span of a store call refers
// to.
const maxSpanLinks = 100

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	Store   infrastructure.Store
	Region  string
	EntryID string
	// Shards defaults to DefaultShards.
	Shards int
	// Owned reports whether this entry VM should own a shard; see SetOwned. It
	// must neither block nor call the Owner.
	Owned func(shard int) bool
	// Now defaults to time.Now.
	Now func() time.Time
	Log *log.Logger
	// Tracer receives a span for each store call that claims wait for; the
	// default is that of the global provider.
	Tracer trace.Tracer

	// WritesPerSecond limits the rate of writes and deletions of all shards
	// together; default 20. Burst is how many may be made at once; default 5.
	WritesPerSecond float64
	Burst           int
	// StoreTimeout bounds one call to the store; default 1 s.
	StoreTimeout time.Duration
	// OwnershipInterval is how often Owned is called; default 200 ms.
	OwnershipInterval time.Duration
	// AttemptTimeout is the timeout of an attempt that sets none itself; default 2
	// min.
	AttemptTimeout time.Duration
	// Retention is how long records of keys are retained; default 24 h.
	Retention time.Duration
	// MaxAnswerBytes limits the size of one kept answer; default 64 KiB.
	// MaxTotalAnswerBytes limits the size of all of them; default 32 MiB.
	// AnswerRetention is how long they are kept; default 10 min.
	MaxAnswerBytes      int
	MaxTotalAnswerBytes int
	AnswerRetention     time.Duration
}

func (o OwnerOptions) withDefaults() OwnerOptions {
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.WritesPerSecond, 20)
	setDefault(&o.Burst, 5)
	setDefault(&o.StoreTimeout, time.Second)
	setDefault(&o.OwnershipInterval, 200*time.Millisecond)
	setDefault(&o.AttemptTimeout, 2*time.Minute)
	setDefault(&o.Retention, 24*time.Hour)
	setDefault(&o.MaxAnswerBytes, 64<<10)
	setDefault(&o.MaxTotalAnswerBytes, 32<<20)
	setDefault(&o.AnswerRetention, 10*time.Minute)
	if o.Owned == nil {
		o.Owned = func(int) bool { return false }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	if o.Tracer == nil {
		o.Tracer = otel.Tracer("claims")
	}
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Owner serves the shards of one entry VM. It drives the state machine of each
// shard: it makes the store calls, one at a time per shard, and delivers replies.
type Owner struct {
	options OwnerOptions
	limiter *rate.Limiter

	mu        sync.Mutex
	shouldOwn func(shard int) bool
	closing   bool
	nextReply replyID
	answers   *answerCache
	shards    []*driver
	wakeup    chan struct{}
	// writeFailures counts the writes that failed or whose response was lost.
	writeFailures int64
}

// driver connects the state machine of one shard to the store and to the callers.
// Its fields are guarded by Owner.mu.
type driver struct {
	owner         *Owner
	number        int
	shard         *shard
	replyChannels map[replyID]chan reply
	// waiterSpans holds the spans of the callers whose claim waits for a write.
	waiterSpans map[replyID]trace.SpanContext
	// call, wantsToken and nextTick are what the latest step asked run to do;
	// callSpans holds the spans of the callers that wait for call.
	call       *storeCall
	callSpans  []trace.SpanContext
	wantsToken bool
	nextTick   time.Time
	wakeup     chan struct{}
	// changed is closed and replaced whenever shard.phase or shard.storeDown has
	// changed.
	changed chan struct{}
}

// NewOwner returns an Owner that owns no shard until Run is called.
func NewOwner(options OwnerOptions) *Owner {
	options = options.withDefaults()
	o := &Owner{
		options:   options,
		limiter:   rate.NewLimiter(rate.Limit(options.WritesPerSecond), options.Burst),
		shouldOwn: options.Owned,
		answers:   newAnswerCache(options.MaxAnswerBytes, options.MaxTotalAnswerBytes, options.AnswerRetention),
		wakeup:    make(chan struct{}, 1),
	}
	l := defaultLimits()
	l.attemptTimeout, l.retention = options.AttemptTimeout, options.Retention
	for number := range options.Shards {
		o.shards = append(o.shards, &driver{
			owner: o, number: number,
			shard:         newShard(l, shardPrefix(options.Region, number), options.EntryID, rand.Uint64(), o.answers),
			replyChannels: map[replyID]chan reply{},
			waiterSpans:   map[replyID]trace.SpanContext{},
			wakeup:        make(chan struct{}, 1),
			changed:       make(chan struct{}),
		})
	}
	return o
}

// SetOwned replaces the function that reports which shards this entry VM should own
// according to the current members. Correctness does not depend on it: of two owners
// of a shard only one can write.
func (o *Owner) SetOwned(shouldOwn func(shard int) bool) {
	o.mu.Lock()
	o.shouldOwn = shouldOwn
	o.mu.Unlock()
	wakeUp(o.wakeup)
}

// Run serves until ctx ends. Call Handover before ending ctx, so that the outcomes
// of finished attempts are not lost.
func (o *Owner) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, d := range o.shards {
		running.Go(func() { d.run(ctx) })
	}
	ticker := time.NewTicker(o.options.OwnershipInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		o.applyOwnership()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.wakeup:
		}
	}
	running.Wait()
	o.stop()
	return errors.Wrap(ctx.Err(), "claims owner stopped")
}

func (o *Owner) applyOwnership() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.shards {
		shouldOwn := o.shouldOwn(d.number) && !o.closing
		switch {
		case shouldOwn && d.shard.phase == phaseIdle:
			d.step(acquireInput{})
		case !shouldOwn && d.shard.phase != phaseIdle && d.shard.phase != phaseReleasing:
			d.step(releaseInput{})
		}
	}
}

// stop gives all shards up and replies NOT_OWNER to all waiting callers, so that they
// turn to the next owner.
func (o *Owner) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	for _, d := range o.shards {
		for id, replies := range d.replyChannels {
			replies <- reply{id: id, state: peer.KeyState_NOT_OWNER}
			delete(d.replyChannels, id)
		}
		clear(d.waiterSpans)
		d.shard.reset()
		d.notifyChanged()
	}
}

// Handover writes the pending batches and state updates of all shards and gives the
// shards up. Run must still be running. Handover returns when all shards are given
// up or ctx ends.
func (o *Owner) Handover(ctx context.Context) error {
	o.mu.Lock()
	o.closing = true
	o.mu.Unlock()
	o.applyOwnership()
	for _, d := range o.shards {
		for {
			o.mu.Lock()
			phase, changed := d.shard.phase, d.changed
			o.mu.Unlock()
			if phase == phaseIdle {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "hand over shard %d", d.number)
			}
		}
	}
	return nil
}

// Stats describes an owner at one moment.
type Stats struct {
	// OwnedShards counts the shards that are served, UnavailableShards those that
	// refuse new keys because the store fails.
	OwnedShards, UnavailableShards int
	// UnsettledClaims counts the claims for which it is not yet known whether
	// their write took effect.
	UnsettledClaims int
	// WriteFailures counts the writes that failed or whose response was lost. Writes
	// that lost against another owner are not counted.
	WriteFailures int64
	// Keys counts the keys with a record, Running the attempts in progress.
	Keys, Running int
	// TotalAnswerBytes is the size of the kept answers.
	TotalAnswerBytes int
}

// Stats returns the current statistics.
func (o *Owner) Stats() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	stats := Stats{WriteFailures: o.writeFailures, TotalAnswerBytes: o.answers.size}
	for _, d := range o.shards {
		stats.Keys += len(d.shard.index)
		stats.Running += len(d.shard.running)
		if d.shard.phase == phaseOwner {
			stats.OwnedShards++
		}
		if d.shard.phase != phaseIdle && d.shard.storeDown {
			stats.UnavailableShards++
		}
		if w := d.shard.write; w != nil && w.unsettled {
			stats.UnsettledClaims += len(w.claims)
		}
	}
	return stats
}

// Reserve announces an attempt on a key.
func (o *Owner) Reserve(ctx context.Context, request *peer.ReserveRequest) (*peer.ReserveResponse, error) {
	in, err := parseAttempt(request.GetKeyHash(), request.GetFingerprint(), request.GetAttempt(), request.GetHoldMillis())
	if err != nil {
		return nil, err
	}
	got, err := o.submit(ctx, in.key, func(id replyID) input { in.replyID = id; return reserveInput{in} })
	return &peer.ReserveResponse{State: got.state, Answer: got.answer}, err
}

// Claim records durably that the attempt is about to be sent.
func (o *Owner) Claim(ctx context.Context, request *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	in, err := parseAttempt(request.GetKeyHash(), request.GetFingerprint(), request.GetAttempt(), request.GetHoldMillis())
	if err != nil {
		return nil, err
	}
	got, err := o.submit(ctx, in.key, func(id replyID) input { in.replyID = id; return claimInput{in} })
	return &peer.ClaimResponse{State: got.state, Answer: got.answer}, err
}

// Finish ends an attempt.
func (o *Owner) Finish(ctx context.Context, request *peer.FinishRequest) (*peer.FinishResponse, error) {
	switch request.GetState() {
	case peer.KeyState_ANSWERED, peer.KeyState_FINISHED, peer.KeyState_UNKNOWN, peer.KeyState_NOT_RUN:
	default:
		return nil, errors.Errorf("an attempt cannot finish as %s", request.GetState())
	}
	in, err := parseAttempt(request.GetKeyHash(), make([]byte, fingerprintSize), request.GetAttempt(), 0)
	if err != nil {
		return nil, err
	}
	got, err := o.submit(ctx, in.key, func(id replyID) input {
		return finishInput{replyID: id, key: in.key, attempt: in.attempt, state: request.GetState(), answer: request.GetAnswer()}
	})
	if err == nil && got.state == peer.KeyState_STORE_UNAVAILABLE {
		// The shard is being taken over and the store fails.
		return nil, errors.Wrap(infrastructure.ErrUnavailable, "finish")
	}
	return &peer.FinishResponse{NotOwner: got.state == peer.KeyState_NOT_OWNER}, err
}

// Await waits for the end of the attempt in progress. It returns IN_PROGRESS if the
// attempt has not ended within the requested wait.
func (o *Owner) Await(ctx context.Context, request *peer.AwaitRequest) (*peer.AwaitResponse, error) {
	in, err := parseAttempt(request.GetKeyHash(), request.GetFingerprint(), request.GetAttempt(), 0)
	if err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMillis())*time.Millisecond)
	defer cancel()
	got, err := o.submit(wait, in.key, func(id replyID) input { in.replyID = id; return awaitInput{in} })
	if err != nil && ctx.Err() == nil {
		return &peer.AwaitResponse{State: peer.KeyState_IN_PROGRESS}, nil
	}
	return &peer.AwaitResponse{State: got.state, Answer: got.answer}, err
}

func parseAttempt(keyHash, fingerprint []byte, attempt string, holdMillis int64) (attemptInput, error) {
	if len(keyHash) != keySize || len(fingerprint) != fingerprintSize || attempt == "" {
		return attemptInput{}, errors.Errorf("invalid attempt %q: key hash of %d bytes, fingerprint of %d bytes", attempt, len(keyHash), len(fingerprint))
	}
	return attemptInput{
		key: key(keyHash), fingerprint: binary.BigEndian.Uint64(fingerprint),
		attempt: attempt, timeout: time.Duration(holdMillis) * time.Millisecond,
	}, nil
}

// submit passes an input to the shard of the key and waits for the reply.
func (o *Owner) submit(ctx context.Context, k key, newInput func(replyID) input) (reply, error) {
	d := o.shards[ShardOf(k[:], len(o.shards))]
	notOwner := reply{state: peer.KeyState_NOT_OWNER}
	o.mu.Lock()
	if err := d.awaitTakeover(ctx); err != nil {
		o.mu.Unlock()
		return notOwner, err
	}
	o.nextReply++
	id, replies := o.nextReply, make(chan reply, 1)
	d.replyChannels[id] = replies
	in := newInput(id)
	if _, ok := in.(claimInput); ok {
		// Only claims are recorded in the store before they get a reply.
		if span := trace.SpanContextFromContext(ctx); span.IsSampled() {
			d.waiterSpans[id] = span
		}
	}
	d.step(in)
	o.mu.Unlock()
	select {
	case got := <-replies:
		return got, nil
	case <-ctx.Done():
		o.mu.Lock()
		defer o.mu.Unlock()
		if _, ok := d.replyChannels[id]; !ok {
			return <-replies, nil
		}
		delete(d.replyChannels, id)
		delete(d.waiterSpans, id)
		d.step(cancelWaitInput{replyID: id, key: k})
		return notOwner, errors.Wrap(ctx.Err(), "wait for the reply of the shard")
	}
}

// awaitTakeover waits while the shard is being taken over. If the shard should be
// owned but its takeover has not started, awaitTakeover starts it. Owner.mu must be
// held; it is released while waiting.
func (d *driver) awaitTakeover(ctx context.Context) error {
	if d.shard.phase == phaseIdle && !d.owner.closing && d.owner.shouldOwn(d.number) {
		d.step(acquireInput{})
	}
	for (d.shard.phase == phaseLoading || d.shard.phase == phaseFencing) && !d.shard.storeDown {
		changed := d.changed
		d.owner.mu.Unlock()
		select {
		case <-changed:
			d.owner.mu.Lock()
		case <-ctx.Done():
			d.owner.mu.Lock()
			return errors.Wrap(ctx.Err(), "wait for the takeover of the shard")
		}
	}
	return nil
}

// step passes an input to the shard and delivers the replies. Owner.mu must be held.
func (d *driver) step(in input) {
	before, downBefore := d.shard.phase, d.shard.storeDown
	out := d.shard.step(d.owner.options.Now(), in)
	for _, got := range out.replies {
		if replies, ok := d.replyChannels[got.id]; ok {
			delete(d.replyChannels, got.id)
			delete(d.waiterSpans, got.id)
			replies <- got
		}
	}
	for _, e := range out.events {
		line := d.owner.options.Log.Info()
		if e.err != nil {
			line = d.owner.options.Log.Warn().Err(e.err)
		}
		line.Str("event", "claims_"+e.name).Int("shard", d.number).Msg("")
	}
	if out.call != nil {
		d.call, d.callSpans = out.call, slices.Collect(maps.Values(d.waiterSpans))
	}
	d.wantsToken, d.nextTick = out.wantsToken, out.nextTick
	if d.shard.phase != before || d.shard.storeDown != downBefore {
		d.notifyChanged()
	}
	wakeUp(d.wakeup)
}

func (d *driver) notifyChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func wakeUp(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// run makes the store calls of the shard until ctx ends.
func (d *driver) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		call, callSpans, wantsToken, untilTick := d.takeWork()
		switch {
		case call != nil:
			d.lockAndStep(d.makeCall(ctx, call, callSpans))
		case wantsToken:
			if d.owner.limiter.Wait(ctx) == nil {
				d.lockAndStep(tokenInput{})
			}
		default:
			timer.Reset(untilTick)
			select {
			case <-ctx.Done():
			case <-d.wakeup:
			case <-timer.C:
				d.lockAndStep(tickInput{})
			}
		}
	}
}

// takeWork returns and clears what the latest step asked for. If it asked for no tick,
// untilTick is an hour, which has no effect: the next step wakes the waiter.
func (d *driver) takeWork() (call *storeCall, callSpans []trace.SpanContext, wantsToken bool, untilTick time.Duration) {
	d.owner.mu.Lock()
	defer d.owner.mu.Unlock()
	call, d.call = d.call, nil
	callSpans, d.callSpans = d.callSpans, nil
	untilTick = time.Hour
	if !d.nextTick.IsZero() {
		untilTick = d.nextTick.Sub(d.owner.options.Now())
	}
	return call, callSpans, d.wantsToken, untilTick
}

func (d *driver) lockAndStep(in input) {
	d.owner.mu.Lock()
	defer d.owner.mu.Unlock()
	d.step(in)
}

// makeCall makes a store call. Ticks continue during the call, so that callers are
// refused in time when the store hangs.
func (d *driver) makeCall(ctx context.Context, call *storeCall, callSpans []trace.SpanContext) resultInput {
	ctx, end := d.startSpan(ctx, callSpans)
	defer end()
	done := make(chan resultInput, 1)
	go func() { done <- d.callStore(ctx, call) }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		_, _, _, untilTick := d.takeWork()
		timer.Reset(untilTick)
		select {
		case result := <-done:
			if call.kind == callPut && result.err != nil && !errors.Is(result.err, infrastructure.ErrConflict) {
				d.owner.mu.Lock()
				d.owner.writeFailures++
				d.owner.mu.Unlock()
			}
			return result
		case <-timer.C:
			d.lockAndStep(tickInput{})
		case <-d.wakeup:
		}
	}
}

// startSpan starts the span of a store call that callers wait for. A span has only
// one parent, which is the first caller; the others become links.
func (d *driver) startSpan(ctx context.Context, callSpans []trace.SpanContext) (context.Context, func()) {
	if len(callSpans) == 0 {
		return ctx, func() {}
	}
	var links []trace.Link
	for _, other := range callSpans[1:min(len(callSpans), maxSpanLinks)] {
		links = append(links, trace.Link{SpanContext: other})
	}
	ctx, span := d.owner.options.Tracer.Start(trace.ContextWithSpanContext(ctx, callSpans[0]), "claims.store",
		trace.WithLinks(links...), trace.WithAttributes(attribute.Int("shard", d.number), attribute.Int("claims", len(callSpans))))
	return ctx, func() { span.End() }
}

func (d *driver) callStore(ctx context.Context, call *storeCall) resultInput {
	ctx, cancel := context.WithTimeout(ctx, d.owner.options.StoreTimeout)
	defer cancel()
	store := d.owner.options.Store
	var result resultInput
	switch call.kind {
	case callPut:
		result.version, result.err = store.Put(ctx, call.key, call.value, call.expected, "")
	case callGet:
		result.value, result.err = store.Get(ctx, call.key)
	case callList:
		result.list, result.err = store.List(ctx, d.shard.prefix, call.after, call.limit)
	case callDelete:
		result.err = store.Delete(ctx, call.key, call.expected)
	}
	return result
}
