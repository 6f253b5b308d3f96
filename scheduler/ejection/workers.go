// Package ejection finds workers and jobs that fail repeatedly. Failing workers
// are ejected, which means that they get no requests except single probes;
// failing jobs are refused for a time. A probe is an ordinary request that shows
// whether an ejected worker has recovered. A job is a piece of work that a caller
// may request several times; all these requests belong to the same job.
package ejection

import (
	"math"
	"slices"
	"time"
)

// Options configure a Workers. Zero values stand for the defaults.
type Options struct {
	// ConsecutiveFailures is the number of consecutive failures after which a
	// worker is a candidate for ejection; default 4. If 1% of the jobs can never
	// succeed, a healthy worker has three failures in a row every half hour.
	ConsecutiveFailures int
	// MaxEjectedRatio is the largest share of the workers of a pool that may be
	// ejected; default 0.3.
	MaxEjectedRatio float64
	// MinProbeInterval and MaxProbeInterval bound the growing interval between
	// probes of an ejected worker; defaults 1 s and 60 s. MinProbeInterval is also
	// the shortest time for which a worker is suspected.
	MinProbeInterval, MaxProbeInterval time.Duration
}

const (
	// Results are counted by the start time of their request, in buckets that
	// cover the last ten seconds.
	bucketWidth  = 100 * time.Millisecond
	bucketCount  = 100
	resultWindow = bucketWidth * bucketCount
	// suspectAfter is the number of consecutive failures after which a worker is
	// suspected.
	suspectAfter = 2
	// ratioSamples is the number of recent failures from which a worker is a
	// candidate for ejection if at least half of its recent requests failed,
	// even if the failures are not consecutive.
	ratioSamples = 10
	// probeGrowth is the ratio of successive intervals between probes.
	probeGrowth = 3
	// minimumFailingBuckets is the number of buckets in which a worker has to
	// fail while other workers succeed before it is ejected.
	minimumFailingBuckets = 3
	// succeedingRatio is the ratio of successes to failures that a worker needs
	// in a bucket to count as evidence against another one. At the start of a
	// common failure, one that affects all workers, the failures of all workers
	// rise above half of their requests within milliseconds of each other. With
	// a ratio of one, the first workers to do so would be ejected.
	succeedingRatio = 4
)

// State is what the dispatcher should do with a worker.
type State int

// States of a worker.
const (
	// Healthy workers get work.
	Healthy State = iota
	// Suspected workers get work only when no healthy worker has a free slot.
	Suspected
	// Paused workers are suspected and have just got a request, so they get no
	// further one for the moment. Otherwise a worker that fails every request
	// immediately would take hundreds of requests from a full queue before
	// enough of its failures could be compared with those of other workers.
	Paused
	// Ejected workers get probes only.
	Ejected
)

// Workers is the ejection state of the workers of one pool.
//
// A worker is ejected only after a comparison with the others: requests that
// started on other workers at the same time as the failed ones must have
// succeeded, and the number of workers that failed during that time must be
// within MaxEjectedRatio. In a common failure, one that affects all workers, no
// request that started during it succeeds, so no worker is ejected.
//
// Invariant: the number of ejected workers never exceeds MaxEjectedRatio times
// the number of listed workers, rounded down.
type Workers struct {
	options Options
	workers map[string]*worker
	// ids are the IDs of the workers in the order of the list. Iterating in this
	// order makes the decisions deterministic.
	ids     []string
	ejected int
	// suspects holds the IDs of the workers that failed at least suspectAfter
	// times in a row and are not ejected.
	suspects map[string]bool
}

// worker is the state of one worker.
type worker struct {
	// streak counts the failures since the last success. Their requests started
	// between streakStart and streakEnd.
	streak                 int
	streakStart, streakEnd time.Time
	lastFailure            time.Time
	lastStart              time.Time
	results                results
	ejected, probing       bool
	probeAt                time.Time
	probeInterval          time.Duration
	// lastComparison is the bucket of the last comparison with other workers.
	lastComparison int64
}

// NewWorkers returns a Workers without workers.
func NewWorkers(options Options) *Workers {
	if options.ConsecutiveFailures <= 0 {
		options.ConsecutiveFailures = 4
	}
	if options.MaxEjectedRatio <= 0 {
		options.MaxEjectedRatio = 0.3
	}
	if options.MinProbeInterval <= 0 {
		options.MinProbeInterval = time.Second
	}
	if options.MaxProbeInterval <= 0 {
		options.MaxProbeInterval = time.Minute
	}
	return &Workers{options: options, workers: map[string]*worker{}, suspects: map[string]bool{}}
}

// SetWorkers sets the workers of the pool in place of those of the last call.
// If the pool shrinks so that too many of its workers are ejected, those with
// the least recent failures are reinstated.
func (e *Workers) SetWorkers(ids []string) {
	listed := make(map[string]*worker, len(ids))
	var ejected []*worker
	for _, id := range ids {
		w := e.workers[id]
		if w == nil {
			w = &worker{}
		}
		listed[id] = w
		if w.ejected {
			ejected = append(ejected, w)
		}
	}
	e.workers, e.ids, e.ejected = listed, slices.Clone(ids), len(ejected)
	slices.SortFunc(ejected, func(a, b *worker) int { return a.lastFailure.Compare(b.lastFailure) })
	for id := range e.suspects {
		if listed[id] == nil {
			delete(e.suspects, id)
		}
	}
	for e.ejected > e.maxEjected() {
		e.reinstate(ejected[0])
		ejected = ejected[1:]
	}
}

// State returns the state of a worker.
func (e *Workers) State(now time.Time, id string) State {
	w := e.workers[id]
	switch {
	case w == nil:
		return Healthy
	case w.ejected:
		return Ejected
	case !e.suspects[id] || now.Sub(w.lastFailure) >= w.suspicionTime(e.options.MinProbeInterval):
		return Healthy
	case now.Sub(w.lastStart) < bucketWidth && len(e.suspects)+e.ejected <= e.maxEjected():
		return Paused
	}
	return Suspected
}

// ForEachSuspected calls f with the ID of each suspected worker. It doesn't
// call f if more workers are suspected or ejected than may be ejected, because
// the cause is then unlikely to be a single worker.
func (e *Workers) ForEachSuspected(f func(id string)) {
	if len(e.suspects)+e.ejected > e.maxEjected() {
		return
	}
	for id := range e.suspects {
		f(id)
	}
}

// Started records that a request started on a worker.
func (e *Workers) Started(now time.Time, id string) {
	if w := e.workers[id]; w != nil {
		w.lastStart = now
	}
}

// suspicionTime returns how long after its last failure a worker stays
// suspected if it has no success. The time is first (MinProbeInterval) after
// suspectAfter consecutive failures and doubles with each further one, up to
// resultWindow. It has to be limited: after a common failure only a success of
// the worker itself shows that it has recovered, but while healthy workers have
// free slots, a suspected worker gets no request. The bound of the shift prevents
// an overflow.
func (w *worker) suspicionTime(first time.Duration) time.Duration {
	return min(first<<min(w.streak-suspectAfter, 8), resultWindow)
}

// Observe records the result of a request on a worker and the time at which the
// request started.
func (e *Workers) Observe(now time.Time, id string, started time.Time, ok bool) {
	w := e.workers[id]
	if w == nil {
		return
	}
	w.results.add(started, ok)
	w.probing = false
	if ok {
		e.succeeded(id, w)
		return
	}
	e.failed(now, id, w, started)
}

func (e *Workers) succeeded(id string, w *worker) {
	w.streak = 0
	delete(e.suspects, id)
	if w.ejected {
		e.reinstate(w)
	}
}

func (e *Workers) failed(now time.Time, id string, w *worker, started time.Time) {
	if w.streak == 0 || started.Before(w.streakStart) {
		w.streakStart = started
	}
	if w.streak == 0 || started.After(w.streakEnd) {
		w.streakEnd = started
	}
	w.streak++
	w.lastFailure = now
	if w.ejected {
		w.probeInterval = min(probeGrowth*w.probeInterval, e.options.MaxProbeInterval)
		w.probeAt = now.Add(w.probeInterval)
		return
	}
	if w.streak >= suspectAfter {
		e.suspects[id] = true
	}
	e.evaluate(now, id, w)
}

// Reevaluate compares the failing workers with the others again, because the
// results of the others often arrive after the failures that they are compared
// with.
func (e *Workers) Reevaluate(now time.Time) {
	for _, id := range e.ids {
		if w := e.workers[id]; w.streak > 0 && !w.ejected {
			e.evaluate(now, id, w)
		}
	}
}

// evaluate ejects a failing worker if it is a candidate for ejection and does
// worse than the other workers.
func (e *Workers) evaluate(now time.Time, id string, w *worker) {
	if e.ejected+1 > e.maxEjected() || bucketOf(now) == w.lastComparison {
		return
	}
	from := w.streakStart
	ok, failed := w.results.between(now.Add(-resultWindow), now)
	switch {
	case w.streak >= e.options.ConsecutiveFailures:
	case failed >= ratioSamples && failed >= ok:
		from = now.Add(-resultWindow)
	default:
		return
	}
	// At most one comparison per worker and bucket limits the CPU time spent
	// during a common failure.
	w.lastComparison = bucketOf(now)
	if !e.worseThanOthers(w, from, w.streakEnd) {
		return
	}
	w.ejected = true
	delete(e.suspects, id)
	w.probeInterval = e.options.MinProbeInterval
	w.probeAt = now.Add(w.probeInterval)
	e.ejected++
}

// worseThanOthers compares a failing worker with the others, bucket by bucket,
// over the requests that started between from and to. It requires failures in
// at least minimumFailingBuckets buckets in which others succeeded: the buckets
// at the start and end of a common failure hold both failures and successes, and
// a single failure right after a common failure is no evidence against the
// worker.
func (e *Workers) worseThanOthers(w *worker, from, to time.Time) bool {
	failingBuckets, succeedingBuckets := 0, 0
	for i := max(bucketOf(from), w.results.newestBucket-bucketCount+1); i <= min(bucketOf(to), w.results.newestBucket); i++ {
		ok, failed := w.results.inBucket(i)
		if ok+failed == 0 || !e.othersSucceeded(w, i) {
			continue
		}
		if failed > ok {
			failingBuckets++
		} else {
			succeedingBuckets++
		}
	}
	return failingBuckets >= minimumFailingBuckets && failingBuckets > succeedingBuckets && e.failingOthers(w, from, to)+1 <= e.maxEjected()
}

// othersSucceeded reports whether, for the requests that started in a bucket,
// more of the other workers succeeded than failed.
func (e *Workers) othersSucceeded(w *worker, bucket int64) bool {
	succeeding, failing := 0, 0
	for _, other := range e.workers {
		if other == w || other.ejected {
			continue
		}
		switch ok, failed := other.results.inBucket(bucket); {
		case succeedingRatio*failed > ok:
			failing++
		case ok > 0:
			succeeding++
		}
	}
	return succeeding > failing
}

// failingOthers returns the number of other workers that are ejected or that
// failed at least ConsecutiveFailures, and more than half, of their requests
// that started between from and to.
func (e *Workers) failingOthers(w *worker, from, to time.Time) int {
	n := 0
	for _, other := range e.workers {
		ok, failed := other.results.between(from, to)
		if other != w && (other.ejected || failed >= e.options.ConsecutiveFailures && failed > ok) {
			n++
		}
	}
	return n
}

func (e *Workers) reinstate(w *worker) {
	*w = worker{}
	e.ejected--
}

// Probe returns a usable ejected worker that is due for a probe, if any. The
// caller reports the result with Observe, or calls CancelProbe if there is none.
func (e *Workers) Probe(now time.Time, usable func(id string) bool) (string, bool) {
	if e.ejected == 0 {
		return "", false
	}
	best := ""
	for id, w := range e.workers {
		if w.ejected && !w.probing && !w.probeAt.After(now) && (best == "" || id < best) && usable(id) {
			best = id
		}
	}
	if best != "" {
		e.workers[best].probing = true
	}
	return best, best != ""
}

// CancelProbe ends the probe of a worker, if one is in progress, without a
// result, so that the worker can be probed again. It may be called for any
// request that gave no result about its worker.
func (e *Workers) CancelProbe(id string) {
	if w := e.workers[id]; w != nil {
		w.probing = false
	}
}

// LooksHealthy reports whether a failure on a worker is probably not the fault of
// the worker: it isn't ejected, and its recent failures exceed its successes by at
// most suspectAfter.
func (e *Workers) LooksHealthy(now time.Time, id string) bool {
	w := e.workers[id]
	if w == nil || w.ejected {
		return false
	}
	ok, failed := w.results.between(now.Add(-resultWindow), now)
	return failed <= ok+suspectAfter
}

// Ejected returns the identifiers of the ejected workers, sorted.
func (e *Workers) Ejected() []string {
	var ids []string
	for id, w := range e.workers {
		if w.ejected {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// maxEjected returns how many of the listed workers may be ejected.
func (e *Workers) maxEjected() int {
	return int(math.Floor(e.options.MaxEjectedRatio * float64(len(e.workers))))
}

// results counts the successes and failures of a worker in ring buffers, by the
// bucket in which their requests started.
type results struct {
	ok, failed [bucketCount]uint16
	// newestBucket is the highest bucket number seen.
	newestBucket int64
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

func (r *results) add(started time.Time, ok bool) {
	bucket := bucketOf(started)
	for i := max(r.newestBucket+1, bucket-bucketCount+1); i <= bucket; i++ {
		r.ok[i%bucketCount], r.failed[i%bucketCount] = 0, 0
	}
	r.newestBucket = max(r.newestBucket, bucket)
	if bucket <= r.newestBucket-bucketCount {
		return
	}
	counts := &r.failed
	if ok {
		counts = &r.ok
	}
	if counts[bucket%bucketCount] < math.MaxUint16 {
		counts[bucket%bucketCount]++
	}
}

// inBucket returns the counts of the requests that started in one bucket.
func (r *results) inBucket(bucket int64) (ok, failed int) {
	if bucket > r.newestBucket || bucket <= r.newestBucket-bucketCount || bucket < 0 {
		return 0, 0
	}
	return int(r.ok[bucket%bucketCount]), int(r.failed[bucket%bucketCount])
}

// between returns the counts of the requests that started in the buckets of from
// and to and in those between them.
func (r *results) between(from, to time.Time) (ok, failed int) {
	for i := max(bucketOf(from), r.newestBucket-bucketCount+1, 0); i <= min(bucketOf(to), r.newestBucket); i++ {
		ok += int(r.ok[i%bucketCount])
		failed += int(r.failed[i%bucketCount])
	}
	return ok, failed
}
