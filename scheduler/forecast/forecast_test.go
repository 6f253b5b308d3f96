package forecast

import (
	"testing"
	"time"
)

// week0 is the start of a week as the package counts them.
var week0 = time.Unix(2900*7*24*3600, 0)

// feed observes weeks with a peak of three hours each day that comes later by a
// drift per week.
func feed(f *Forecast, weeks int, drift time.Duration) {
	for at := week0; at.Before(week0.Add(time.Duration(weeks) * 7 * 24 * time.Hour)); at = at.Add(bucket) {
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

// Guards against a forecast that repeats the last week although its peak came
// later than the one before.
func TestForecastFollowsDrift(t *testing.T) {
	for _, drift := range []time.Duration{0, 5 * time.Minute, -10 * time.Minute} {
		f := New()
		feed(f, 3, drift)
		now := week0.Add(3 * 7 * 24 * time.Hour)
		f.Observe(now, demand(now, drift))
		if f.Shift() != drift {
			t.Errorf("shift %s, want %s", f.Shift(), drift)
		}
		for at := now; at.Before(now.Add(24 * time.Hour)); at = at.Add(bucket) {
			if got, ok := f.At(at); !ok || got != demand(at, drift) {
				t.Fatalf("drift %s, %s into the week: %v %t, want %v", drift, at.Sub(now), got, ok, demand(at, drift))
			}
		}
	}
}

// Guards against forecasts from weeks that were not observed.
func TestNoForecastWithoutHistory(t *testing.T) {
	f := New()
	feed(f, 1, 0)
	if _, ok := f.At(week0.Add(time.Hour)); ok {
		t.Error("forecast from the current week alone")
	}
	f.Observe(week0.Add(5*7*24*time.Hour), 1)
	if _, ok := f.At(week0.Add(5*7*24*time.Hour + time.Hour)); ok {
		t.Error("forecast after weeks without observations")
	}
}
