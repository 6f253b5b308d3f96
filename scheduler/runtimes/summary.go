package runtimes

import (
	"math"
	"slices"
)

// restoredWeight bounds the weight of the samples of a restored histogram, so that about
// as many new samples outweigh what was learned elsewhere or long ago.
const restoredWeight = 64

// Summary is what a learner knows of an operation in one class of declared run times.
type Summary struct {
	Service string `json:"s"`
	Name    string `json:"n,omitempty"`
	Class   int    `json:"c"`
	// Buckets holds the number of samples of each bucket from First on.
	First   int      `json:"f"`
	Buckets []uint32 `json:"b"`
}

// Summaries returns up to limit summaries of the operations that were used last.
func (l *Learner) Summaries(limit int) []Summary {
	keys := l.byLastUse()
	slices.Reverse(keys)
	var out []Summary
	for _, k := range keys[:min(limit, len(keys))] {
		h := l.histograms[k]
		s := Summary{Service: k.operation.Service, Name: k.operation.Name, Class: k.class}
		last := -1
		for b, n := range h.counts {
			if n < 0.5 {
				continue
			}
			if last < 0 {
				s.First = b
			}
			last = b
		}
		if last < 0 {
			continue
		}
		for _, n := range h.counts[s.First : last+1] {
			s.Buckets = append(s.Buckets, uint32(math.Round(n)))
		}
		out = append(out, s)
	}
	return out
}

// Restore adds summaries of operations of which nothing is known yet. It reports how many
// it left out because they are not valid.
func (l *Learner) Restore(summaries []Summary) (invalid int) {
	for _, s := range slices.Backward(summaries) {
		k := histogramKey{Operation{s.Service, s.Name}, s.Class}
		if s.First < 0 || s.First > bucketCount || len(s.Buckets) > bucketCount-s.First || s.Class < allClasses || len(s.Buckets) == 0 {
			invalid++
			continue
		}
		if l.histograms[k] != nil || len(l.histograms) >= maximumHistograms {
			continue
		}
		total := 0.0
		for _, n := range s.Buckets {
			total += float64(n)
		}
		if total == 0 {
			invalid++
			continue
		}
		h := &histogram{newSamples: 1}
		scale := min(restoredWeight/total, 1)
		for n, count := range s.Buckets {
			weight := float64(count) * scale
			h.counts[s.First+n] = weight
			h.count += weight
			h.sum += weight * float64(upperBound(s.First+n))
		}
		l.histograms[k] = h
		l.use(h)
	}
	return invalid
}
