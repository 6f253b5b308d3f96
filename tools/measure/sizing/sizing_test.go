package sizing

import (
	"math"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Guards against a fit that reports a slope, a coefficient of determination or
// a crossing which the points do not have.
func TestFit(t *testing.T) {
	l := fit([]point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
	if !near(l.slope, 2) || !near(l.intercept, 3) || !near(l.r2, 1) || !near(l.at(10), 23) || !near(l.crossing(13), 5) {
		t.Fatalf("exact line: %+v", l)
	}
	l = fit([]point{{0, 0}, {1, 2}, {2, 1}, {3, 3}})
	if !near(l.slope, 0.8) || !near(l.intercept, 0.3) || !near(l.r2, 0.64) {
		t.Fatalf("scattered points: %+v", l)
	}
	if l = fit([]point{{1, 4}, {2, 4}}); !math.IsInf(l.crossing(5), 1) || l.r2 != 1 {
		t.Fatalf("constant: %+v", l)
	}
	if e := exponent([]point{{1, 3}, {2, 12}, {4, 48}}); !near(e, 2) {
		t.Fatalf("exponent of a square: %v", e)
	}
}

// Guards against a spread or a median that hides an outlier among the repeats.
func TestSpreadAndMedian(t *testing.T) {
	if !near(spread(9, 11), 0.2) || spread(0, 0) != 0 || !near(spread(-1, 1), 2) {
		t.Fatalf("spread: %v %v", spread(9, 11), spread(-1, 1))
	}
	if median([]float64{9, 1, 2}) != 2 || median([]float64{4, 1, 2, 9}) != 3 {
		t.Fatal("median")
	}
}

// Guards against a constant value that is reported with a large spread, and
// against a growing value that counts as constant.
func TestFlatSeries(t *testing.T) {
	m := &measurement{}
	var flat, growing series
	for _, x := range []float64{1, 2, 3, 4} {
		flat.add(x, 6+x/1e4, 6-x/1e4)
		growing.add(x, 6+x, 6-x)
	}
	m.addFit("flat", "B", "x", flat)
	m.addFit("growing", "B", "x", growing)
	if m.rows[0].Fit.Spread > flatThreshold || !near(m.rows[1].Fit.Spread, 2) {
		t.Fatalf("spreads %v and %v", m.rows[0].Fit.Spread, m.rows[1].Fit.Spread)
	}
}

// Guards against a budget that is reported as met when it is not, and against
// a configuration whose parts are counted twice.
func TestBudgetArithmetic(t *testing.T) {
	m := &measurement{}
	m.addBudget("within", "B", 10, 10)
	m.addBudget("over", "B", 11, 10)
	if !*m.rows[0].Met || *m.rows[1].Met {
		t.Fatalf("rows %+v", m.rows)
	}
	d := documentLines{configByWorker: line{slope: 2, intercept: 100}, configByPool: line{slope: 30}, configByTeam: line{slope: 5}}
	if got := d.configBytes(10, 8, 3); !near(got, 100+20+60+10) {
		t.Fatalf("configuration of %v bytes", got)
	}
}

// Guards against calls that are counted under a wrong name or not at all.
func TestCallName(t *testing.T) {
	for line, want := range map[string]string{
		"GET /v1/kv/fleet%2Fdev HTTP/1.1\r\nHost: a\r\n": "GET fleet",
		"GET /v1/watch?prefix=a HTTP/1.1\r\n":            "GET /v1/watch",
		"POST /v1/leases/7/keepalive HTTP/1.1\r\n":       "keepalive",
		`{"value":"POST"}`:                               "",
	} {
		if got, _ := callName([]byte(line)); got != want {
			t.Errorf("%q is %q, want %q", line, got, want)
		}
	}
}
