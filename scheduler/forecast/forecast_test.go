package forecast

import (
	"testing"
	"time"
)

// week0 is the start of a week. The package counts weeks from the Unix epoch.
var week0 = time.Unix(2900*7*24*3600, 0)

// observeWeeks adds the observations of some weeks. Each day has a peak of three
// hours, which comes later by drift from week to week.
func observeWeeks(f *Forecast, weeks int, drift time.Duration) {
	for at := week0; at.Before(week0.Add(time.Duration(weeks) * 7 * 24 * time.Hour)); at = at.Add(bucketWidth) {
		f.Observe(at, demand(at, drift))
	}
}

func demand(at time.Time, drift time.Duration) float64 {
	week := at.Sub(week0) / (7 * 24 * time.Hour)
	sinceRise := at.Sub(week0)%(24*time.Hour) - 19*time.Hour - week*drift
	if sinceRise >= 0 && sinceRise < 3*time.Hour {
		return 10
	}
	return 1
}

// Guards against a forecast that repeats the last week unchanged, although the
// peak moves from week to week.
func TestForecastFollowsDrift(t *testing.T) {
	for _, drift := range []time.Duration{0, 5 * time.Minute, -10 * time.Minute} {
		f := New()
		observeWeeks(f, 3, drift)
		now := week0.Add(3 * 7 * 24 * time.Hour)
		f.Observe(now, demand(now, drift))
		if f.Shift() != drift {
			t.Errorf("shift %s, want %s", f.Shift(), drift)
		}
		for at := now; at.Before(now.Add(24 * time.Hour)); at = at.Add(bucketWidth) {
			if got, ok := f.At(at); !ok || got != demand(at, drift) {
				t.Fatalf("drift %s, %s into the week: %v %t, want %v", drift, at.Sub(now), got, ok, demand(at, drift))
			}
		}
	}
}

// Guards against forecasts based on weeks without observations.
func TestNoForecastWithoutHistory(t *testing.T) {
	f := New()
	observeWeeks(f, 1, 0)
	if _, ok := f.At(week0.Add(time.Hour)); ok {
		t.Error("forecast from the current week alone")
	}
	f.Observe(week0.Add(5*7*24*time.Hour), 1)
	if _, ok := f.At(week0.Add(5*7*24*time.Hour + time.Hour)); ok {
		t.Error("forecast after weeks without observations")
	}
}
