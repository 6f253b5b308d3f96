package job

import (
	"math"
	"testing"
)

// Guards against jobs that wait for ever because their work is larger than the cap, and
// against an overflow that lets a huge request pass.
func TestCheckCap(t *testing.T) {
	cap := Resources{MilliCPU: 4000, GPU: 1}
	for _, c := range []struct {
		name string
		step Step
		fits bool
	}{
		{"item at the cap", Step{Count: 9, Needs: Resources{MilliCPU: 4000, MemoryMB: 1 << 40}}, true},
		{"item above the cap", Step{Count: 1, Needs: Resources{MilliCPU: 4001}}, false},
		{"filler above the cap", Step{Count: 1, Filler: true, Needs: Resources{MilliCPU: 4001}}, false},
		{"gang at the cap", Step{Count: 4, Gang: true, Needs: Resources{MilliCPU: 1000}}, true},
		{"gang above the cap", Step{Count: 2, Gang: true, Needs: Resources{GPU: 1}}, false},
		{"gang that overflows", Step{Count: 1 << 10, Gang: true, Needs: Resources{MilliCPU: math.MaxInt64 - 1}}, false},
	} {
		j := &Job{Organisation: "harbour", Steps: []Step{c.step}}
		if err := j.CheckCap(cap); (err == nil) != c.fits {
			t.Errorf("%s: %v", c.name, err)
		}
		if err := j.CheckCap(Resources{}); err != nil {
			t.Errorf("%s without a cap: %v", c.name, err)
		}
	}
}
