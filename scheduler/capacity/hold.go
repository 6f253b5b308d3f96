package capacity

import "time"

const (
	// Gaps between bursts are counted in buckets of holdBucket; longer ones
	// than the last bucket count as never.
	holdBucket  = time.Second
	holdBuckets = 600
	// halveGaps is the weight at which old gaps are halved.
	halveGaps = 64
	// averageWeight is the weight of a new gap in the exponential average.
	averageWeight = 0.2
)

// gaps holds the times between the bursts of one pool.
type gaps struct {
	counts  [holdBuckets + 1]float64
	total   float64
	average float64
}

func (g *gaps) add(gap time.Duration) {
	g.counts[min(int(gap/holdBucket), holdBuckets)]++
	g.total++
	if g.total == 1 {
		g.average = gap.Seconds()
	}
	g.average += averageWeight * (gap.Seconds() - g.average)
	if g.total >= halveGaps {
		for i := range g.counts {
			g.counts[i] /= 2
		}
		g.total /= 2
	}
}

// hold returns how long the VMs of a burst are kept after it. profit is what a
// kept VM is worth when the next burst comes, price what keeping it costs per
// second.
//
// After Cohen, Krishnamurthy and Rexford, "Evaluating Server-Assisted Cache
// Replacement in the Web": from each point, the extension with the best
// expected profit per expected cost is taken while the ratio exceeds one.
func (g *gaps) hold(profit, price float64) time.Duration {
	if g.total == 0 {
		return 0
	}
	held, left := 0, g.total
	for held < holdBuckets {
		best, bestRatio, bestLeft := 0, 1.0, 0.0
		hits, cost, waiting := 0.0, 0.0, left
		for i := held; i < holdBuckets; i++ {
			// Gaps that end within the bucket cost it in full.
			cost += waiting * price * holdBucket.Seconds()
			hits += g.counts[i]
			waiting -= g.counts[i]
			if cost > 0 && hits*profit/cost > bestRatio {
				best, bestRatio, bestLeft = i+1, hits*profit/cost, waiting
			}
		}
		if best == 0 {
			break
		}
		held, left = best, bestLeft
	}
	return time.Duration(held) * holdBucket
}

// averageHold holds a little longer than the average gap if that pays.
func (g *gaps) averageHold(profit, price float64) time.Duration {
	if seconds := 1.2 * g.average; g.total > 0 && seconds*price < profit {
		return time.Duration(seconds * float64(time.Second))
	}
	return 0
}
