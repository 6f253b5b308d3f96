// Package forecast predicts the demand of a pool from its last weeks. It is
// pure: the caller passes observations and times.
package forecast

import "time"

const (
	// bucket is the resolution of the forecast; a week has buckets of them.
	bucket  = 5 * time.Minute
	buckets = int(7 * 24 * time.Hour / bucket)
	// maximumShift bounds how much later or earlier a week may be than the one
	// before.
	maximumShift = 12
	// minimumGain is the part by which a shift has to lower the squared
	// difference of two weeks, so that noise shifts nothing.
	minimumGain = 0.05
)

// Forecast holds the demand of the last two weeks and the current one. The
// peak of the demand moves by a few minutes from week to week, so the forecast
// of a time is the last week's demand moved by the shift between the last two.
type Forecast struct {
	week  int64
	weeks [3]profile
	shift int
}

// profile is the mean demand in each bucket of a week.
type profile struct {
	sum   [buckets]float64
	count [buckets]float64
	any   bool
}

// New returns a forecast without observations.
func New() *Forecast { return &Forecast{week: -1} }

// Observe adds the demand at a time. Times before the newest week are ignored.
func (f *Forecast) Observe(at time.Time, demand float64) {
	week, i := place(at)
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

// Shift is how much later than the week before the last week was.
func (f *Forecast) Shift() time.Duration { return time.Duration(f.shift) * bucket }

// At returns the demand expected at a time in the current week, false without
// a complete observation of the last week around it.
func (f *Forecast) At(at time.Time) (float64, bool) {
	week, i := place(at)
	if week != f.week {
		return 0, false
	}
	return f.weeks[1].at(i - f.shift)
}

func place(at time.Time) (week int64, i int) {
	n := at.Unix() / int64(bucket/time.Second)
	return n / int64(buckets), int(n % int64(buckets))
}

func (p *profile) at(i int) (float64, bool) {
	i = (i + buckets) % buckets
	if p.count[i] == 0 {
		return 0, false
	}
	return p.sum[i] / p.count[i], true
}

// shiftFrom returns the shift of the profile against an earlier one with the
// least squared difference.
func (p *profile) shiftFrom(earlier *profile) int {
	if !p.any || !earlier.any {
		return 0
	}
	best, least := 0, p.difference(earlier, 0)*(1-minimumGain)
	for shift := -maximumShift; shift <= maximumShift; shift++ {
		if d := p.difference(earlier, shift); d < least {
			best, least = shift, d
		}
	}
	return best
}

// difference is the mean squared difference to an earlier profile that is
// moved by a shift.
func (p *profile) difference(earlier *profile, shift int) float64 {
	sum, n := 0.0, 0.0
	for i := range buckets {
		a, okA := p.at(i)
		b, okB := earlier.at(i - shift)
		if okA && okB {
			sum += (a - b) * (a - b)
			n++
		}
	}
	return sum / max(n, 1)
}
