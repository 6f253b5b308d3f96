package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/standin/httpclient"
)

// DownMode is how the platform treats calls during an outage. In no mode does a
// call take effect.
type DownMode string

// Modes of an outage.
const (
	// DownRefuse responds with 503.
	DownRefuse DownMode = "refuse"
	// DownClose closes the connection without a response.
	DownClose DownMode = "close"
	// DownSilent sends no response and closes the connection at the next change
	// of the faults, even if the outage continues.
	DownSilent DownMode = "silent"
)

// PlatformFaults are the faults of the stand-in platform.
type PlatformFaults struct {
	// Down starts an outage for all callers, unless DownEntries limits it.
	Down bool `json:"down"`
	// DownEntries limits the outage to callers with these ids of entry VMs
	// (header X-Entry) or IP addresses. It has this effect even if Down is not set.
	DownEntries []string `json:"down_entries"`
	// DownCalls limits the outage to kinds of calls: the groups "store" and
	// "machines", or the names that Counts returns.
	DownCalls []string `json:"down_calls"`
	DownMode  DownMode `json:"down_mode"`

	// DelaySeconds is the delay before a call takes effect. A write takes effect
	// even if its caller disconnects during the delay.
	DelaySeconds float64 `json:"delay_seconds"`
	// ResponseDelaySeconds is the delay between the effect and the response.
	ResponseDelaySeconds float64 `json:"answer_delay_seconds"`

	// LoseNext is the number of writes whose responses are lost after they took
	// effect.
	LoseNext int `json:"lose_next"`
	// LoseProbability is the probability of losing the response of a write that
	// took effect.
	LoseProbability float64 `json:"lose_probability"`
	// DropNext is the number of writes whose connections are closed before they
	// take effect.
	DropNext int `json:"drop_next"`
	// DropProbability is the probability of closing the connection of a write
	// before it takes effect.
	DropProbability float64 `json:"drop_probability"`
	// LoseCalls limits the Lose and Drop faults to these kinds of writes.
	// The default is every write except lease_keepalive.
	LoseCalls []string `json:"lose_calls"`
	// Seed seeds the random numbers behind the probabilities; a new value
	// restarts their sequence.
	Seed uint64 `json:"seed"`

	// ListLagSeconds is how far the list of VMs lags behind.
	ListLagSeconds float64 `json:"list_lag_seconds"`
}

// faults holds the current faults.
type faults struct {
	mu      sync.Mutex
	current PlatformFaults
	random  *rand.Rand
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

func newFaults(f PlatformFaults) *faults {
	return &faults{current: f, random: newRandom(f.Seed), changed: make(chan struct{})}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

func (f *faults) get() (PlatformFaults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// update changes the faults atomically.
func (f *faults) update(change func(*PlatformFaults) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.current
	// Decoding JSON into the copy must not overwrite slices that readers share.
	next.DownEntries = slices.Clone(next.DownEntries)
	next.DownCalls = slices.Clone(next.DownCalls)
	next.LoseCalls = slices.Clone(next.LoseCalls)
	if err := change(&next); err != nil {
		return err
	}
	if next.Seed != f.current.Seed {
		f.random = newRandom(next.Seed)
	}
	f.current = next
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// loseResponse decides whether to lose the response of a write that took effect.
func (f *faults) loseResponse(k callKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inject(k, &f.current.LoseNext, f.current.LoseProbability)
}

// drop decides whether to drop a write before it takes effect.
func (f *faults) drop(k callKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inject(k, &f.current.DropNext, f.current.DropProbability)
}

func (f *faults) inject(k callKind, next *int, probability float64) bool {
	if !k.write || !f.lossApplies(k) {
		return false
	}
	if *next > 0 {
		*next--
		return true
	}
	return probability > 0 && f.random.Float64() < probability
}

func (f *faults) lossApplies(k callKind) bool {
	if len(f.current.LoseCalls) == 0 {
		// Keep-alives arrive every second and would use up the counts.
		return k.name != "lease_keepalive"
	}
	return k.matchesAny(f.current.LoseCalls)
}

// outageApplies reports whether the outage applies to a call.
func (p *PlatformFaults) outageApplies(k callKind, r *http.Request) bool {
	if !p.Down && len(p.DownEntries) == 0 {
		return false
	}
	if len(p.DownCalls) > 0 && !k.matchesAny(p.DownCalls) {
		return false
	}
	if len(p.DownEntries) == 0 {
		return true
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return slices.Contains(p.DownEntries, r.Header.Get(httpclient.EntryHeader)) ||
		slices.Contains(p.DownEntries, host)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
