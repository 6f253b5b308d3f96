package capacity

import "time"

const (
	// Gaps between bursts are counted in holdBuckets buckets of holdBucketWidth.
	// Longer gaps share one more bucket, and no hold time covers them.
	holdBucketWidth = time.Second
	holdBuckets     = 600
	// maximumGapWeight is the total weight of the counted gaps at which all
	// counts are halved, so that old gaps lose weight.
	maximumGapWeight = 64
	// averageWeight is the weight of a new gap in the exponential moving
	// average.
	averageWeight = 0.2
)

// gaps holds statistics of the times between the bursts of one pool: a
// histogram and an exponential moving average in seconds.
type gaps struct {
	counts  [holdBuckets + 1]float64
	total   float64
	average float64
}

func (g *gaps) add(gap time.Duration) {
	g.counts[min(int(gap/holdBucketWidth), holdBuckets)]++
	g.total++
	if g.total == 1 {
		g.average = gap.Seconds()
	}
	g.average += averageWeight * (gap.Seconds() - g.average)
	if g.total >= maximumGapWeight {
		for i := range g.counts {
			g.counts[i] /= 2
		}
		g.total /= 2
	}
}

// hold returns how long the VMs of a burst are kept after it. profit is the
// benefit of having kept a VM until the next burst, price the cost of keeping it
// for one second.
//
// The algorithm follows Cohen, Krishnamurthy and Rexford, "Evaluating
// Server-Assisted Cache Replacement in the Web": it repeatedly extends the hold
// time to the point with the best ratio of expected profit to expected cost,
// as long as that ratio exceeds one.
func (g *gaps) hold(profit, price float64) time.Duration {
	if g.total == 0 {
		return 0
	}
	held, left := 0, g.total
	for held < holdBuckets {
		best, bestRatio, bestLeft := 0, 1.0, 0.0
		hits, cost, waiting := 0.0, 0.0, left
		for i := held; i < holdBuckets; i++ {
			// A gap that ends within the bucket is charged for the whole bucket.
			cost += waiting * price * holdBucketWidth.Seconds()
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
	return time.Duration(held) * holdBucketWidth
}

// averageHold returns 1.2 times the average gap if holding a VM for that long
// costs less than profit, else 0.
func (g *gaps) averageHold(profit, price float64) time.Duration {
	if seconds := 1.2 * g.average; g.total > 0 && seconds*price < profit {
		return time.Duration(seconds * float64(time.Second))
	}
	return 0
}
