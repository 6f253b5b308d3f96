package capacity

import "time"

// LearnedPool is what a Rebalancer knows of the bursts of a pool, for the one that continues
// after it. Times are Unix milliseconds, because readings of a monotonic clock mean nothing
// on another machine.
type LearnedPool struct {
	Pool        string  `json:"p"`
	InitialSize int     `json:"n"`
	Peak        int     `json:"m"`
	Starts      []int64 `json:"s,omitempty"`
	InBurst     bool    `json:"b,omitempty"`
}

// maxLearnedAge is how long after the last start of a burst it is assumed that the load still
// has the same turns.
const maxLearnedAge = 10 * time.Minute

// maxLearnedSkew is by how much the clock of the former owner may be ahead.
const maxLearnedSkew = 2 * time.Second

// Learned returns, in the order of names, what is known of the pools that have had a burst.
// now and wall are the same moment on the monotonic and on the wall clock.
func (r *Rebalancer) Learned(names []string, now time.Duration, wall time.Time) []LearnedPool {
	var learned []LearnedPool
	for _, name := range names {
		h := r.pools[name]
		if h == nil || len(h.starts) == 0 || h.initialSize == 0 {
			continue
		}
		l := LearnedPool{Pool: name, InitialSize: h.initialSize, Peak: h.lastPeak, InBurst: h.inBurst}
		if h.inBurst {
			l.Peak = max(l.Peak, h.peak)
		}
		for _, start := range h.starts {
			l.Starts = append(l.Starts, wall.Add(start-now).UnixMilli())
		}
		learned = append(learned, l)
	}
	return learned
}

// Restore takes over what a former Rebalancer knew. Pools that this one has planned for
// already, and entries that make no sense, are left out; it returns how many were taken.
func (r *Rebalancer) Restore(learned []LearnedPool, now time.Duration, wall time.Time) int {
	n := 0
	for _, l := range learned {
		if r.pools[l.Pool] != nil || l.InitialSize <= 0 || l.Peak < 0 || len(l.Starts) == 0 || len(l.Starts) > maxStarts {
			continue
		}
		h := &rebalancingHistory{initialSize: l.InitialSize, lastPeak: l.Peak, inBurst: l.InBurst, peak: l.Peak}
		sound := true
		for i, start := range l.Starts {
			age := wall.Sub(time.UnixMilli(start))
			sound = sound && age >= -maxLearnedSkew && age < maxLearnedAge && (i == 0 || start >= l.Starts[i-1])
			h.starts = append(h.starts, now-max(age, 0))
		}
		if !sound {
			continue
		}
		// The starts are known, so each counts as later than the first sight of the pool.
		h.since = h.starts[0] - 1
		if h.inBurst {
			// The first plans see few of the workers. Their low need doesn't end the burst.
			h.recent = []rebalancingNeed{{at: now, vms: h.peak}}
		}
		r.pools[l.Pool] = h
		n++
	}
	return n
}
