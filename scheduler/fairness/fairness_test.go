package fairness

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/job"
)

var pool = job.Resources{MilliCPU: 100_000, MemoryMB: 1000, GPU: 10}

// One organisation sends seven times its usual while others send theirs: the others get all
// that they want, and the one gets the rest.
func TestUnusedSharesGoToTheOneThatWantsMore(t *testing.T) {
	claims := []Claim{{Organisation: "hot", Weight: 1, Used: job.Resources{MilliCPU: 60_000}, Wanted: job.Resources{MilliCPU: 300_000}}}
	for n := range 19 {
		claims = append(claims, Claim{Organisation: fmt.Sprint(n), Weight: 1, Wanted: job.Resources{MilliCPU: 2000}})
	}
	shares := Shares(pool, claims)
	if math.Abs(shares[0].Fair-0.62) > 1e-6 || shares[0].Over {
		t.Errorf("the one has %+v, want 0.62 of the pool", shares[0])
	}
	claims[1].Wanted.MilliCPU = 50_000
	shares = Shares(pool, claims)
	if math.Abs(shares[0].Fair-0.32) > 1e-6 || !shares[0].Over || math.Abs(shares[1].Fair-0.32) > 1e-6 {
		t.Errorf("shares %+v, want 0.32 for the two that want more", shares[:2])
	}
}

// An organisation with a resource that is used up must not hold up those that need others.
func TestOrganisationsThatNeedOtherResourcesGoOn(t *testing.T) {
	shares := Shares(pool, []Claim{
		{Organisation: "gpu", Weight: 1, Wanted: job.Resources{GPU: 20}},
		{Organisation: "gpu of weight 3", Weight: 3, Wanted: job.Resources{GPU: 20}},
		{Organisation: "cpu", Weight: 1, Wanted: job.Resources{MilliCPU: 90_000}},
	})
	for n, want := range []float64{0.25, 0.75, 0.9} {
		if math.Abs(shares[n].Fair-want) > 1e-6 {
			t.Errorf("%+v, want a fair share of %v", shares[n], want)
		}
	}
}

// Guards against room that is left although an organisation wants it, more room than there is,
// one that gets less for its weight than another although it wants more, and weights and
// capacities that are 0.
func TestSharesAreFairAndUseAllRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) job.Resources {
			n := func(label string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, label) }
			return job.Resources{MilliCPU: n(label+" cpu", 60_000), MemoryMB: n(label+" memory", 600), GPU: n(label+" gpu", 6)}
		}
		capacity := pool
		if rapid.IntRange(0, 5).Draw(t, "no gpu") == 0 {
			capacity.GPU = 0
		}
		var claims []Claim
		for n := range rapid.IntRange(1, 8).Draw(t, "claims") {
			claims = append(claims, Claim{Organisation: fmt.Sprint(n), Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")), Used: draw("used"), Wanted: draw("wanted")})
		}
		shares := Shares(capacity, claims)
		var taken parts
		for n, c := range claims {
			demand := partsOf(c.Used.Add(c.Wanted, 1), capacity)
			if dominant := max(demand[0], demand[1], demand[2]); dominant > 0 {
				if shares[n].Fair > dominant+1e-6 {
					t.Fatalf("%+v has a larger share than its demand %v", shares[n], dominant)
				}
				for r := range taken {
					taken[r] += demand[r] * shares[n].Fair / dominant
				}
			}
		}
		for n, c := range claims {
			demand := partsOf(c.Used.Add(c.Wanted, 1), capacity)
			dominant := max(demand[0], demand[1], demand[2])
			short := false
			for r := range taken {
				if taken[r] > 1+1e-6 {
					t.Fatalf("shares take %v of resource %d", taken[r], r)
				}
				short = short || demand[r] > 0 && taken[r] > 1-1e-6
			}
			if shares[n].Fair < dominant-1e-6 && !short {
				t.Fatalf("%+v gets less than its demand %v, but the pool has room: %v", shares[n], dominant, taken)
			}
			if shares[n].Over && shares[n].Dominant <= shares[n].Fair {
				t.Fatalf("%+v is not over its share", shares[n])
			}
		}
	})
}

func BenchmarkShares(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			claims := make([]Claim, n)
			for i := range claims {
				claims[i] = Claim{Weight: float64(i%7 + 1), Used: job.Resources{MilliCPU: int64(i * 37 % 1000)}, Wanted: job.Resources{MilliCPU: int64(i * 7919 % 10_000), MemoryMB: int64(i % 13)}}
			}
			for b.Loop() {
				Shares(pool, claims)
			}
		})
	}
}
