package owner

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store"
)

const (
	// tick is the longest pause between rounds.
	tick = 50 * time.Millisecond
	// roundGap is the shortest pause between rounds: what arrives during the
	// pause is decided together.
	roundGap = 3 * time.Millisecond
	// roundPauseFactor times the length of a round is the pause after it, so that
	// rounds take at most a fifth of the time. The pause is never longer than
	// tick, so rounds of more than 12.5 ms take a larger part.
	roundPauseFactor = 4
	// callTimeout bounds a call to a worker, which answers within the network
	// delay of a zone, while this process runs when it has to. See lagMeter.
	callTimeout = execution.AnswerTimeout
	// releaseTimeout bounds, at the end of a term, the time for all last writes
	// together, and then that for the release of the lease.
	releaseTimeout = time.Second
	// loadTimeout bounds the reading of the jobs at a takeover.
	loadTimeout = 10 * time.Second
	// inboxWait is how long one watch call on the inbox waits for changes. A
	// cancelled job must not start anything later than 3 s after the cancellation
	// was acknowledged, and a connection that went silent is noticed only when
	// the wait is over.
	inboxWait = 700 * time.Millisecond
)

var (
	errLeaseLost = errors.New("lease lost")
	errStopped   = errors.New("process stops")
)

// term is one period of ownership, from the acquisition of the lease to its end.
type term struct {
	*Owner
	ownership *jobstore.Ownership
	writer    *jobstore.Writer

	mu   sync.Mutex
	core *execution.Core
	// authorityUntil is until when this process may give orders: the earliest
	// time at which the lease may lapse, on boottime's clock, less
	// authorityMargin.
	authorityUntil time.Duration
	manifest       *job.Manifest
	holdLoops      map[string]*holdLoop
	// queuedRecords holds, by key, the records that are to be written; nil
	// deletes the key. written holds the values that were written last. deletions
	// are the records that are to be deleted, those of an entry in one transaction.
	queuedRecords map[string][]byte
	written       map[string]string
	deletions     [][]jobstore.Record
	// queuedHolders is the record of workers that may hold leases of runs, as it
	// is queued or being written, queuedHolderIDs are the workers that it names, and
	// queuedHolderRuns those of them whose items it names.
	queuedHolders                     []byte
	queuedHolderIDs, queuedHolderRuns []string
	horizon                           startHorizon
	// onWritten holds, by key, the records whose writers wait.
	onWritten map[string]pendingRecord
	startedAt time.Duration
	// orderedAt is when this owner gave its last order to a VM, formerOrders
	// holds the VMs to which a former owner gave orders recently. Only the
	// VM loop uses them once the records are loaded.
	orderedAt    map[string]time.Duration
	formerOrders map[string]bool
	// summaryDue is when the counts of waiting jobs are written next. Only the
	// write loop uses it.
	summaryDue time.Duration
	// unreadable holds the jobs whose progress could not be decoded. They are not
	// run, and ends of their runs are discarded.
	unreadable map[string]bool
	// inboxRevisions holds the revision of the inbox record of each job in the core.
	inboxRevisions map[string]int64
	// forgotten holds the same of the finished jobs that the core has dropped, until the
	// inbox does not hold them any more. A record of a higher revision is of a new job.
	forgotten map[string]int64
	// fullQueues are the queues of which no further jobs are accepted.
	fullQueues map[string]bool
	admission  admission
	// targets are what the pools needed and expected in the last plan of moves.
	targets map[string]capacity.Target
	// earlyCancellations holds, by job, the cancellations that came before their jobs, until
	// their deletion is queued.
	earlyCancellations map[string]earlyCancellation
	// waveDone holds, by the number of the wave, the VMs that had their upkeep
	// under former owners.
	waveDone map[int64][]string
	// runTimesDue is when the learned run times are next recorded.
	runTimesDue time.Duration
	// formerBursts are the bursts of the pools that former owners have learned.
	formerBursts []capacity.LearnedPool

	// lag is how late this process runs.
	lag         lagMeter
	roundSignal chan struct{}
	writeSignal chan struct{}
	// firstCalls holds the calls in progress to workers that were not contacted.
	firstCalls chan struct{}
	// pendingCalls counts the calls in progress to workers and the advisor, except
	// hold calls.
	pendingCalls sync.WaitGroup
	// pendingStarts counts the calls that start a run and have no answer yet.
	pendingStarts atomic.Int64
	end           context.CancelCauseFunc
}

func newTerm(o *Owner, ownership *jobstore.Ownership, requestedAt time.Duration) *term {
	t := &term{
		Owner: o, ownership: ownership, holdLoops: map[string]*holdLoop{}, queuedRecords: map[string][]byte{}, written: map[string]string{},
		waveDone: map[int64][]string{}, onWritten: map[string]pendingRecord{}, startedAt: boottime.Now(),
		unreadable: map[string]bool{}, inboxRevisions: map[string]int64{}, forgotten: map[string]int64{}, fullQueues: map[string]bool{},
		earlyCancellations: map[string]earlyCancellation{}, orderedAt: map[string]time.Duration{}, formerOrders: map[string]bool{},
		roundSignal: make(chan struct{}, 1), writeSignal: make(chan struct{}, 1), firstCalls: make(chan struct{}, maxFirstCalls),
		authorityUntil: requestedAt + o.options.Lease - authorityMargin,
	}
	options := o.options.Execution
	options.Trace = t.trace
	t.core = execution.New(options, ownership.Term)
	t.core.SetFence(ownership.Fence)
	return t
}

// run does the owner's work until the ownership ends, and returns why it ended.
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
	// A small entry VM may not be able to read the jobs: it has to hand over before.
	group.Go(func() error { t.watchChallenges(ctx); return nil })
	started := time.Now()
	inbox, revision, err := t.load(ctx)
	if err != nil {
		cancel(errors.Wrap(err, "load jobs"))
	} else {
		t.options.Log.Info().Str("event", "jobs_loaded").Int64("fence", t.ownership.Fence).Int("inbox", inbox).Int64("revision", revision).
			Dur("took", time.Since(started)).Msg("")
		t.metrics.takeover.Record(time.Since(started))
		t.start(ctx, group, revision)
	}
	<-ctx.Done()
	reason := context.Cause(ctx)
	// Pending calls may still be answered; no new orders are given.
	t.revoke()
	waitAtMost(&t.pendingCalls, callTimeout)
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
	if t.options.VMs != nil {
		group.Go(func() error { t.vmLoop(ctx); return nil })
	}
}

// flush writes the queued records, and then the workers that currently hold leases
// of runs, so that the next owner need not wait for leases that have ended.
func (t *term) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for t.writeBatch(ctx) {
	}
	t.mu.Lock()
	t.recordHoldersLocked(t.core.LeaseHolders(boottime.Now()))
	t.mu.Unlock()
	for t.writeBatch(ctx) {
	}
}

// release ends the lease, unless it is already lost, so that another process
// can take over at once.
func (t *term) release(reason error) {
	if errors.Is(reason, errLeaseLost) || errors.Is(reason, jobstore.ErrDeposed) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := t.options.Store.EndLease(ctx, t.ownership.Lease); err != nil {
		t.options.Log.Warn().Str("event", "lease_not_released").Err(err).Msg("")
	}
}

func waitAtMost(group *sync.WaitGroup, atMost time.Duration) {
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

// renew renews the lease until ctx ends. While the store cannot be reached, the
// authority to give orders lapses; it comes back with the next renewal if the
// lease still exists.
func (t *term) renew(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		requestedAt := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout+min(t.lag.allowance(requestedAt), renewTimeout))
		err := t.options.Store.RenewLease(callCtx, t.ownership.Lease)
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
			t.authorityUntil = max(t.authorityUntil, requestedAt+t.options.Lease-authorityMargin)
			t.mu.Unlock()
		} else {
			// The lease keeps running out, so a failed renewal is repeated sooner.
			pause = renewEvery / 5
		}
		t.waitMeasured(ctx, pause)
	}
}

// load reads the accepted jobs and the records of former owners. It includes
// every job that was accepted before the ownership began. It returns the number
// of inbox records and the revision from which to watch the inbox.
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
	t.writer = jobstore.NewWriter(t.options.Store, t.ownership.Fence, known)
	progress := map[string]job.Progress{}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range known {
		if id, ok := strings.CutPrefix(item.Key, jobstore.ProgressPrefix); ok {
			var p job.Progress
			if err := json.Unmarshal(item.Value, &p); err != nil {
				// Without its record the job may have run, so that it is not started. Its
				// runs are stopped, as their resources are not known. Their ends are logged
				// and acknowledged: workers forget ends in order, so that one that is kept
				// would block all later ones. An error would end this term, and then that of
				// each later owner.
				t.options.Log.Error().Str("event", "progress_unreadable").Str("job", id).Err(err).Msg("")
				t.unreadable[id] = true
				continue
			}
			progress[id] = p
		}
		if strings.HasPrefix(item.Key, jobstore.WavePrefix) {
			if err := t.loadWaveRecord(item); err != nil {
				return 0, 0, err
			}
		}
		if item.Key == jobstore.OrdersKey {
			if err := t.loadOrdersRecord(item.Value); err != nil {
				return 0, 0, err
			}
		}
		if item.Key == jobstore.HoldersKey {
			if err := t.loadHoldersRecord(item.Value); err != nil {
				return 0, 0, err
			}
		}
		if item.Key == jobstore.RunTimesKey {
			t.loadRunTimes(item.Value)
		}
		if item.Key == jobstore.BurstsKey {
			t.loadBursts(item.Value)
		}
		if item.Key == jobstore.BacklogKey {
			// The entry VMs refuse no jobs because of a record that they cannot decode either.
			backlog, err := jobstore.DecodeBacklog(item.Value)
			if err != nil {
				t.options.Log.Error().Str("event", "backlog_unreadable").Err(err).Msg("")
			}
			for _, queue := range backlog.FullQueues {
				t.fullQueues[queue] = true
			}
		}
	}
	t.loadHorizonLocked(known)
	t.setManifestLocked()
	t.applyInbox(inbox, progress, t.horizon.former)
	return len(inbox), revision, nil
}

// readAll reads all items under prefix. It retries until ctx ends.
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

// applyInbox adds accepted jobs, and then applies cancellations. A former owner may have
// started the jobs whose records have revisions up to formerHorizon.
func (t *term) applyInbox(items []store.Item, progress map[string]job.Progress, formerHorizon int64) {
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
		if t.unreadable[id] || item.Revision <= t.forgotten[id] {
			continue
		}
		if jobstore.IsEarlyCancellation(item.Value) {
			t.noteEarlyCancellation(id, item.Revision, now)
			continue
		}
		t.horizon.observe(item.Revision, now)
		j := &job.Job{ID: id, Revision: item.Revision}
		err := json.Unmarshal(item.Value, j)
		if err == nil {
			err = j.Check().Err()
		}
		if err != nil {
			t.options.Log.Error().Str("event", "job_unreadable").Str("job", id).Err(err).Msg("")
			continue
		}
		t.core.AddJob(j, progress[id], item.Revision <= formerHorizon, wall, now)
		// The job may have replaced the cancellation of another organisation.
		delete(t.earlyCancellations, id)
		t.inboxRevisions[id] = item.Revision
	}
	for _, id := range cancelled {
		t.core.Cancel(id, now)
	}
	t.checkBacklogLocked()
}

func (t *term) followInbox(ctx context.Context, revision int64) {
	store.FollowFrom(ctx, t.options.Store, jobstore.InboxPrefix, revision, inboxWait, store.FollowHandler{
		Reset: t.resetInbox,
		Changed: func(events []store.Event) {
			t.mu.Lock()
			var items []store.Item
			for _, e := range events {
				if !e.Deleted {
					items = append(items, e.Item)
				} else if id, cancel, ok := jobstore.ParseInboxKey(e.Key); ok && !cancel {
					delete(t.forgotten, id)
				}
			}
			t.applyInbox(items, nil, noFormerHorizon)
			t.mu.Unlock()
			t.wakeRounds()
		},
		Failed: func(err error) {
			t.options.Log.Warn().Str("event", "inbox_watch_failed").Err(err).Msg("")
		},
	})
}

// resetInbox takes the contents of the inbox after its history was compacted.
func (t *term) resetInbox(items []store.Item, _ int64) {
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
	}
	t.mu.Lock()
	maps.DeleteFunc(t.forgotten, func(id string, _ int64) bool { return !present[jobstore.JobKey(id)] })
	t.applyInbox(items, nil, noFormerHorizon)
	t.mu.Unlock()
	t.wakeRounds()
}

func (t *term) resetWorkers(workers []execution.Worker) {
	t.mu.Lock()
	t.core.SetWorkers(workers, boottime.Now())
	t.mu.Unlock()
	t.wakeRounds()
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
	t.wakeRounds()
}

// setManifestLocked passes the current manifest to the core if it has changed.
func (t *term) setManifestLocked() {
	if m := t.options.Manifest(); m != nil && m != t.manifest {
		t.manifest = m
		t.core.SetManifest(m)
	}
}

func (t *term) wakeRounds() {
	select {
	case t.roundSignal <- struct{}{}:
	default:
	}
}

func (t *term) wakeWriter() {
	select {
	case t.writeSignal <- struct{}{}:
	default:
	}
}
