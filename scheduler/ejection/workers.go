// Package ejection finds workers and jobs that fail again and again.
package ejection

import (
	"math"
	"slices"
	"time"
)

// Options configure a Workers. Zero values stand for the defaults.
type Options struct {
	// Streak is the number of failures without a success in between after
	// which a worker is a candidate; default 4. With 1% of jobs that can never
	// run, three failures in a row happen to a good worker every half hour.
	Streak int
	// Ceiling is the largest part of a pool's workers that may be ejected;
	// default 0.3.
	Ceiling float64
	// FirstProbe and LastProbe bound the growing interval between probes of an
	// ejected worker; defaults 1 s and 60 s.
	FirstProbe, LastProbe time.Duration
}

const (
	// Results are counted by the time at which their request started, in
	// buckets over the last ten seconds.
	bucketWidth = 100 * time.Millisecond
	bucketCount = 100
	memory      = bucketWidth * bucketCount
	// suspectAfter is the number of failures in a row that make a worker the
	// last choice.
	suspectAfter = 2
	// ratioSamples is the number of recent failures from which a worker that
	// fails at least half of its requests is a candidate without a streak.
	ratioSamples = 10
	// probeGrowth is the ratio of successive intervals between probes.
	probeGrowth = 3
	// failingBuckets is the number of buckets with failures that others answer.
	failingBuckets = 3
	// answeringRatio is how many times the failures of a worker its successes
	// have to be for the worker to count as evidence against another one. At
	// the start of a common failure all workers pass a half within
	// milliseconds, so a plain majority would eject the first ones.
	answeringRatio = 4
)

// State is what the dispatcher should do with a worker.
type State int

// States of a worker.
const (
	// Trusted workers get work.
	Trusted State = iota
	// Suspected workers get work when no trusted worker has a free slot.
	Suspected
	// Paused workers are suspected and got a request just now. A worker that
	// fails at once would otherwise take hundreds of requests from a full queue
	// until enough of its failures can be compared.
	Paused
	// Ejected workers get probes only.
	Ejected
)

// Workers is the ejection state of the workers of one pool.
//
// A worker is ejected only on a comparison: other workers answered requests
// that started at the same time as the ones it failed, and the workers that
// failed in the same time are within the ceiling. In a common failure no
// request of that time succeeds, so none is ejected.
//
// Invariant: the ejected workers never exceed Ceiling of the listed workers,
// rounded down.
type Workers struct {
	options Options
	workers map[string]*worker
	// ids keeps the order of the list, so that equal events lead to equal
	// decisions.
	ids     []string
	ejected int
	// suspects are the workers that failed suspectAfter times in a row and are
	// not ejected.
	suspects map[string]bool
}

type worker struct {
	// streak counts failures since the last success; their requests started
	// between streakStart and streakEnd.
	streak                 int
	streakStart, streakEnd time.Time
	lastFailure            time.Time
	lastStart              time.Time
	results                results
	ejected, probing       bool
	probeAt                time.Time
	interval               time.Duration
	// judged is the bucket of the last comparison.
	judged int64
}

// NewWorkers returns a Workers without workers.
func NewWorkers(options Options) *Workers {
	if options.Streak <= 0 {
		options.Streak = 4
	}
	if options.Ceiling <= 0 {
		options.Ceiling = 0.3
	}
	if options.FirstProbe <= 0 {
		options.FirstProbe = time.Second
	}
	if options.LastProbe <= 0 {
		options.LastProbe = time.Minute
	}
	return &Workers{options: options, workers: map[string]*worker{}, suspects: map[string]bool{}}
}

// List replaces the workers of the pool. When a smaller pool lowers the
// ceiling, the workers with the least recent failure are reinstated.
func (e *Workers) List(ids []string) {
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
	for e.ejected > e.limit() {
		e.reinstate(ejected[0])
		ejected = ejected[1:]
	}
}

// State returns the state of a worker.
func (e *Workers) State(now time.Time, id string) State {
	w := e.workers[id]
	switch {
	case w == nil:
		return Trusted
	case w.ejected:
		return Ejected
	case !e.suspects[id] || now.Sub(w.lastFailure) >= w.suspicion(e.options.FirstProbe):
		return Trusted
	case now.Sub(w.lastStart) < bucketWidth && len(e.suspects)+e.ejected <= e.limit():
		return Paused
	}
	return Suspected
}

// Suspects calls f with each suspected worker, unless so many are suspected
// that the cause is not the worker.
func (e *Workers) Suspects(f func(id string)) {
	if len(e.suspects)+e.ejected > e.limit() {
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

// suspicion is how long a worker without a success is the last choice. It grows
// with each failure up to memory: after a common failure nothing but its own
// next answer shows that a worker has recovered, and a pool with free slots
// gives the last choice no request.
func (w *worker) suspicion(first time.Duration) time.Duration {
	return min(first<<min(w.streak-suspectAfter, 8), memory)
}

// Observe records how a request that started at a time went on a worker.
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
		w.interval = min(probeGrowth*w.interval, e.options.LastProbe)
		w.probeAt = now.Add(w.interval)
		return
	}
	if w.streak >= suspectAfter {
		e.suspects[id] = true
	}
	e.judge(now, id, w)
}

// Review judges the failing workers again, because the answers of other
// workers often arrive after the failures they are compared with.
func (e *Workers) Review(now time.Time) {
	for _, id := range e.ids {
		if w := e.workers[id]; w.streak > 0 && !w.ejected {
			e.judge(now, id, w)
		}
	}
}

func (e *Workers) judge(now time.Time, id string, w *worker) {
	if e.ejected+1 > e.limit() || bucketOf(now) == w.judged {
		return
	}
	from := w.streakStart
	ok, failed := w.results.between(now.Add(-memory), now)
	switch {
	case w.streak >= e.options.Streak:
	case failed >= ratioSamples && failed >= ok:
		from = now.Add(-memory)
	default:
		return
	}
	// One comparison per bucket bounds the work in a common failure.
	w.judged = bucketOf(now)
	if !e.worseThanOthers(w, from, w.streakEnd) {
		return
	}
	w.ejected = true
	delete(e.suspects, id)
	w.interval = e.options.FirstProbe
	w.probeAt = now.Add(w.interval)
	e.ejected++
}

// worseThanOthers compares a failing worker with the others, bucket by bucket
// over the requests that started in the same time. It takes failures in at
// least failingBuckets buckets in which others answered: the buckets at the
// edges of a common failure hold failures beside answers, and one more failure
// right after it is no evidence.
func (e *Workers) worseThanOthers(w *worker, from, to time.Time) bool {
	bad, good := 0, 0
	for i := max(bucketOf(from), w.results.newest-bucketCount+1); i <= min(bucketOf(to), w.results.newest); i++ {
		ok, failed := w.results.at(i)
		if ok+failed == 0 || !e.othersAnswer(w, i) {
			continue
		}
		if failed > ok {
			bad++
		} else {
			good++
		}
	}
	return bad >= failingBuckets && bad > good && e.failingOthers(w, from, to)+1 <= e.limit()
}

// othersAnswer reports whether more of the other workers answer than fail the
// requests that started in a bucket.
func (e *Workers) othersAnswer(w *worker, bucket int64) bool {
	answering, failing := 0, 0
	for _, other := range e.workers {
		if other == w || other.ejected {
			continue
		}
		switch ok, failed := other.results.at(bucket); {
		case answeringRatio*failed > ok:
			failing++
		case ok > 0:
			answering++
		}
	}
	return answering > failing
}

// failingOthers counts the other workers that fail in the same time.
func (e *Workers) failingOthers(w *worker, from, to time.Time) int {
	n := 0
	for _, other := range e.workers {
		ok, failed := other.results.between(from, to)
		if other != w && (other.ejected || failed >= e.options.Streak && failed > ok) {
			n++
		}
	}
	return n
}

func (e *Workers) reinstate(w *worker) {
	*w = worker{}
	e.ejected--
}

// Probe returns an ejected worker that is due for a probe, if any. The caller
// reports the probe with Observe, or with Unprobed when none was sent.
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

// Unprobed takes back a probe whose result says nothing about the worker.
func (e *Workers) Unprobed(id string) {
	if w := e.workers[id]; w != nil {
		w.probing = false
	}
}

// Answering reports whether the recent results of a worker give no reason to
// blame it for a failure.
func (e *Workers) Answering(now time.Time, id string) bool {
	w := e.workers[id]
	if w == nil || w.ejected {
		return false
	}
	ok, failed := w.results.between(now.Add(-memory), now)
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

func (e *Workers) limit() int {
	return int(math.Floor(e.options.Ceiling * float64(len(e.workers))))
}

// results counts successes and failures by the start of their requests.
type results struct {
	ok, failed [bucketCount]uint16
	// newest is the highest bucket number seen.
	newest int64
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

func (r *results) add(started time.Time, ok bool) {
	bucket := bucketOf(started)
	for i := max(r.newest+1, bucket-bucketCount+1); i <= bucket; i++ {
		r.ok[i%bucketCount], r.failed[i%bucketCount] = 0, 0
	}
	r.newest = max(r.newest, bucket)
	if bucket <= r.newest-bucketCount {
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

// at counts the requests that started in one bucket.
func (r *results) at(bucket int64) (ok, failed int) {
	if bucket > r.newest || bucket <= r.newest-bucketCount || bucket < 0 {
		return 0, 0
	}
	return int(r.ok[bucket%bucketCount]), int(r.failed[bucket%bucketCount])
}

// between counts the requests that started in the buckets of both times and
// those in between.
func (r *results) between(from, to time.Time) (ok, failed int) {
	for i := max(bucketOf(from), r.newest-bucketCount+1, 0); i <= min(bucketOf(to), r.newest); i++ {
		ok += int(r.ok[i%bucketCount])
		failed += int(r.failed[i%bucketCount])
	}
	return ok, failed
}
