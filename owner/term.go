package owner

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store"
)

const (
	// tick is the longest pause between rounds.
	tick = 50 * time.Millisecond
	// roundGap is the shortest pause between rounds: what arrives meanwhile is
	// decided together.
	roundGap = 3 * time.Millisecond
	// roundRest times the length of a round is the pause after it: rounds take
	// at most a fifth of the time.
	roundRest = 4
	// callTimeout bounds an order to a worker, which answers within a zone's
	// delay.
	callTimeout = 300 * time.Millisecond
	// releaseTimeout bounds the handing back of the lease at the end.
	releaseTimeout = time.Second
	// loadTimeout bounds the reading of the jobs at a takeover.
	loadTimeout = 10 * time.Second
	// inboxWait is how long a watch of the inbox waits for changes. A cancelled
	// job must start nothing 3 s after its cancelling was acknowledged, and a
	// connection that went silent is noticed only when the wait is over.
	inboxWait = 700 * time.Millisecond
)

var (
	errLeaseLost = errors.New("lease lost")
	errStopped   = errors.New("process stops")
)

// term is one ownership, from its acquiring to its end.
type term struct {
	*Owner
	held   *jobstore.Held
	writer *jobstore.Writer

	mu   sync.Mutex
	core *execution.Core
	// authorityUntil is when the lease may lapse, on boottime's clock, less a
	// margin.
	authorityUntil time.Duration
	manifest       *job.Manifest
	loops          map[string]*holdLoop
	records        map[string][]byte
	written        map[string]string
	// queuedHolders is the record of lease holders that is to be written.
	queuedHolders string
	// onWritten are signalled when the store has a record.
	onWritten map[string]chan struct{}
	startedAt time.Duration
	// orderedAt is when this owner gave its last order to a VM, formerOrders
	// are the VMs that a former owner gave orders to lately. Only the
	// machines' loop uses them once the records are loaded.
	orderedAt    map[string]time.Duration
	formerOrders map[string]bool
	// summaryDue is when the counts of waiting jobs are written next. Only the
	// writing loop uses it.
	summaryDue time.Duration
	// waveDone are the VMs of each wave that had their upkeep under former
	// owners.
	waveDone map[int64][]string

	wake      chan struct{}
	wakeWrite chan struct{}
	orders    sync.WaitGroup
	// starting counts the starts that wait for their answers.
	starting atomic.Int64
	end      context.CancelCauseFunc
}

func newTerm(o *Owner, held *jobstore.Held, asked time.Duration) *term {
	t := &term{
		Owner: o, held: held, loops: map[string]*holdLoop{}, records: map[string][]byte{}, written: map[string]string{},
		waveDone: map[int64][]string{}, onWritten: map[string]chan struct{}{}, startedAt: boottime.Now(),
		orderedAt: map[string]time.Duration{}, formerOrders: map[string]bool{},
		wake: make(chan struct{}, 1), wakeWrite: make(chan struct{}, 1),
		authorityUntil: asked + o.options.Lease - authorityMargin,
	}
	options := o.options.Execution
	options.Trace = t.trace
	t.core = execution.New(options, held.Term)
	return t
}

// run exercises the ownership until it ends and returns why.
func (t *term) run(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	t.end = cancel
	defer cancel(nil)
	stop := context.AfterFunc(parent, func() { cancel(errStopped) })
	defer stop()
	t.metrics.ownerGauge.Update(1)
	defer t.metrics.ownerGauge.Update(0)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { t.renew(ctx); return nil })
	started := time.Now()
	inbox, revision, err := t.load(ctx)
	if err != nil {
		cancel(errors.Wrap(err, "load jobs"))
	} else {
		t.options.Log.Info().Str("event", "jobs_loaded").Int64("fence", t.held.Fence).Int("inbox", inbox).Int64("revision", revision).
			Dur("took", time.Since(started)).Msg("")
		t.metrics.takeover.Record(time.Since(started))
		t.start(ctx, group, revision)
	}
	<-ctx.Done()
	reason := context.Cause(ctx)
	// Orders under way may still be answered; no new ones are given.
	t.revoke()
	waitFor(&t.orders, callTimeout)
	_ = group.Wait()
	if (errors.Is(reason, errStopped) || errors.Is(reason, errHandedOver)) && t.writer != nil {
		t.flush()
	}
	t.release(reason)
	return reason
}

func (t *term) start(ctx context.Context, group *errgroup.Group, revision int64) {
	group.Go(func() error { t.followInbox(ctx, revision); return nil })
	group.Go(func() error {
		t.options.Registry.Follow(ctx, RegistryHandler{Reset: t.resetWorkers, Changed: t.changeWorkers})
		return nil
	})
	group.Go(func() error { t.writeLoop(ctx); return nil })
	group.Go(func() error { t.rounds(ctx); return nil })
	group.Go(func() error { t.yield(ctx); return nil })
	if t.options.Machines != nil {
		group.Go(func() error { t.upkeep(ctx); return nil })
	}
}

// flush writes what the next owner would otherwise have to find out.
func (t *term) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	t.mu.Lock()
	t.recordHoldersLocked(t.core.Holders(boottime.Now()))
	t.mu.Unlock()
	for t.writeBatch(ctx) {
	}
}

// release ends the lease, so that another process can take over at once.
func (t *term) release(reason error) {
	if errors.Is(reason, errLeaseLost) || errors.Is(reason, jobstore.ErrDeposed) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := t.options.Store.EndLease(ctx, t.held.Lease); err != nil {
		t.options.Log.Warn().Str("event", "lease_not_released").Err(err).Msg("")
	}
}

func waitFor(group *sync.WaitGroup, atMost time.Duration) {
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(atMost):
	}
}

// authorized reports whether this process certainly still owns the jobs.
func (t *term) authorized() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.authorizedLocked()
}

func (t *term) authorizedLocked() bool { return boottime.Now() < t.authorityUntil }

func (t *term) revoke() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.authorityUntil = 0
}

// renew keeps the lease. While the store cannot be reached the authority
// lapses; it comes back with the next renewal if the lease has lasted.
func (t *term) renew(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		asked := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := t.options.Store.RenewLease(callCtx, t.held.Lease)
		cancel()
		if errors.Is(err, store.ErrNotFound) {
			t.end(errLeaseLost)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			t.options.Log.Warn().Str("event", "store_reachable").Bool("reachable", reachable).AnErr("error", err).Msg("")
		}
		pause := renewEvery
		if err == nil {
			t.mu.Lock()
			t.authorityUntil = max(t.authorityUntil, asked+t.options.Lease-authorityMargin)
			t.mu.Unlock()
		} else {
			pause = renewEvery / 5
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// load reads what former owners left. Everything that was accepted before the
// ownership began is in it.
func (t *term) load(ctx context.Context) (int, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var known []store.Item
	for _, prefix := range []string{jobstore.ProgressPrefix, jobstore.OwnerPrefix, t.options.StatusPrefix} {
		items, _, err := readAll(ctx, t.options.Store, prefix)
		if err != nil {
			return 0, 0, err
		}
		known = append(known, items...)
	}
	inbox, revision, err := readAll(ctx, t.options.Store, jobstore.InboxPrefix)
	if err != nil {
		return 0, 0, err
	}
	t.writer = jobstore.NewWriter(t.options.Store, t.held.Fence, known)
	progress := map[string]job.Progress{}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range known {
		if id, ok := strings.CutPrefix(item.Key, jobstore.ProgressPrefix); ok {
			var p job.Progress
			if err := json.Unmarshal(item.Value, &p); err != nil {
				return 0, 0, errors.Wrapf(err, "decode %s", item.Key)
			}
			progress[id] = p
		}
		if strings.HasPrefix(item.Key, jobstore.WavePrefix) {
			if err := t.takeWaveRecord(item); err != nil {
				return 0, 0, err
			}
		}
		if item.Key == jobstore.OrdersKey {
			if err := t.takeOrdersRecord(item.Value); err != nil {
				return 0, 0, err
			}
		}
		if item.Key == jobstore.HoldersKey {
			var holders map[string]int64
			if err := json.Unmarshal(item.Value, &holders); err != nil {
				return 0, 0, errors.Wrapf(err, "decode %s", item.Key)
			}
			t.core.FormerHolders(durations(holders), t.startedAt)
		}
	}
	t.setManifestLocked()
	t.takeInbox(inbox, progress, true)
	return len(inbox), revision, nil
}

// readAll repeats the reading of a range until ctx ends.
func readAll(ctx context.Context, s store.Store, prefix string) ([]store.Item, int64, error) {
	for {
		items, revision, err := store.ReadAll(ctx, s, prefix)
		if err == nil || ctx.Err() != nil {
			return items, revision, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(tick):
		}
	}
}

// takeInbox adds accepted jobs, and then applies what was cancelled.
func (t *term) takeInbox(items []store.Item, progress map[string]job.Progress, inherited bool) {
	wall, now := time.Now(), boottime.Now()
	var cancelled []string
	for _, item := range items {
		id, cancel, ok := jobstore.ParseInboxKey(item.Key)
		if !ok {
			continue
		}
		if cancel {
			cancelled = append(cancelled, id)
			continue
		}
		j := &job.Job{ID: id}
		if err := json.Unmarshal(item.Value, j); err != nil {
			t.options.Log.Error().Str("event", "job_unreadable").Str("job", id).Err(err).Msg("")
			continue
		}
		t.core.AddJob(j, progress[id], inherited, wall, now)
	}
	for _, id := range cancelled {
		t.core.Cancel(id, now)
	}
}

func (t *term) followInbox(ctx context.Context, revision int64) {
	store.FollowFrom(ctx, t.options.Store, jobstore.InboxPrefix, revision, inboxWait, store.Follower{
		Reset: func(items []store.Item, _ int64) {
			t.mu.Lock()
			t.takeInbox(items, nil, false)
			t.mu.Unlock()
			t.kick()
		},
		Changed: func(events []store.Event) {
			var items []store.Item
			for _, e := range events {
				if !e.Deleted {
					items = append(items, e.Item)
				}
			}
			t.mu.Lock()
			t.takeInbox(items, nil, false)
			t.mu.Unlock()
			t.kick()
		},
		Failed: func(err error) {
			t.options.Log.Warn().Str("event", "inbox_watch_failed").Err(err).Msg("")
		},
	})
}

func (t *term) resetWorkers(infos []execution.Worker) {
	t.mu.Lock()
	t.core.SetWorkers(infos, boottime.Now())
	t.mu.Unlock()
	t.kick()
}

func (t *term) changeWorkers(seen []execution.Worker, gone []string) {
	t.mu.Lock()
	now := boottime.Now()
	for _, w := range seen {
		t.core.WorkerSeen(w, now)
	}
	for _, id := range gone {
		t.core.WorkerGone(id)
	}
	t.mu.Unlock()
	t.kick()
}

// setManifestLocked puts the manifest of this process in force.
func (t *term) setManifestLocked() {
	if m := t.options.Manifest(); m != nil && m != t.manifest {
		t.manifest = m
		t.core.SetManifest(m)
	}
}

func (t *term) kick() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *term) kickWriter() {
	select {
	case t.wakeWrite <- struct{}{}:
	default:
	}
}
