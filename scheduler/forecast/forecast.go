// Package forecast predicts the demand of a pool from its demand in the last two
// weeks. It does no I/O and reads no clock: the caller passes in observations
// and times.
package forecast

import "time"

const (
	// bucketWidth is the resolution of the forecast.
	bucketWidth    = 5 * time.Minute
	bucketsPerWeek = int(7 * 24 * time.Hour / bucketWidth)
	// maximumShift is the largest shift of a week against the one before, in
	// buckets.
	maximumShift = 12
	// minimumGain is the share by which a shift has to reduce the mean squared
	// difference of two weeks to be used, so that noise causes no shift.
	minimumGain = 0.05
)

// Forecast holds the demand of the current week and of the last two. The daily
// peak of the demand moves by a few minutes from week to week, so the forecast
// for a time is the demand of the last week, moved by the shift between the last
// two weeks.
type Forecast struct {
	// week is the number of the current week since the Unix epoch, or -1.
	week int64
	// weeks holds the current week, the last one and the one before.
	weeks [3]profile
	// shift is how many buckets later the last week was than the one before.
	shift int
}

// profile gives the mean demand in each bucket of a week.
type profile struct {
	sum   [bucketsPerWeek]float64
	count [bucketsPerWeek]float64
	// any tells whether the week has an observation.
	any bool
}

// New returns a forecast without observations.
func New() *Forecast { return &Forecast{week: -1} }

// Observe adds the demand at a time. Times before the current week are ignored.
func (f *Forecast) Observe(at time.Time, demand float64) {
	week, i := bucketOf(at)
	if f.week < 0 {
		f.week = week
	}
	for ; f.week < week; f.week++ {
		f.weeks[2], f.weeks[1], f.weeks[0] = f.weeks[1], f.weeks[0], profile{}
		f.shift = f.weeks[1].shiftFrom(&f.weeks[2])
	}
	if week == f.week {
		f.weeks[0].sum[i] += demand
		f.weeks[0].count[i]++
		f.weeks[0].any = true
	}
}

// Shift returns how much later the demand of the last week came than that of the
// week before it; it is negative if it came earlier.
func (f *Forecast) Shift() time.Duration { return time.Duration(f.shift) * bucketWidth }

// At returns the demand expected at a time in the current week; false if the time
// is in another week or the corresponding bucket of the last week has no
// observation.
func (f *Forecast) At(at time.Time) (float64, bool) {
	week, i := bucketOf(at)
	if week != f.week {
		return 0, false
	}
	return f.weeks[1].at(i - f.shift)
}

// bucketOf returns the week of a time and the index of its bucket in that week.
func bucketOf(at time.Time) (week int64, i int) {
	n := at.Unix() / int64(bucketWidth/time.Second)
	return n / int64(bucketsPerWeek), int(n % int64(bucketsPerWeek))
}

// at returns the mean demand of bucket i, modulo the number of buckets.
func (p *profile) at(i int) (float64, bool) {
	i = (i + bucketsPerWeek) % bucketsPerWeek
	if p.count[i] == 0 {
		return 0, false
	}
	return p.sum[i] / p.count[i], true
}

// shiftFrom returns the shift against an earlier profile, in buckets, for which
// their mean squared difference is smallest.
func (p *profile) shiftFrom(earlier *profile) int {
	if !p.any || !earlier.any {
		return 0
	}
	best, leastDifference := 0, p.difference(earlier, 0)*(1-minimumGain)
	for shift := -maximumShift; shift <= maximumShift; shift++ {
		if d := p.difference(earlier, shift); d < leastDifference {
			best, leastDifference = shift, d
		}
	}
	return best
}

// difference returns the mean squared difference to an earlier profile that is
// moved by a shift.
func (p *profile) difference(earlier *profile, shift int) float64 {
	sum, n := 0.0, 0.0
	for i := range bucketsPerWeek {
		a, okA := p.at(i)
		b, okB := earlier.at(i - shift)
		if okA && okB {
			sum += (a - b) * (a - b)
			n++
		}
	}
	return sum / max(n, 1)
}
