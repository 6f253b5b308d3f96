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

// DownMode is the way in which a platform that is down treats a call. No mode
// lets the call take effect.
type DownMode string

// Modes of an outage.
const (
	// DownRefuse answers 503.
	DownRefuse DownMode = "refuse"
	// DownClose closes the connection without an answer.
	DownClose DownMode = "close"
	// DownSilent gives no answer until the outage ends, and then closes the
	// connection.
	DownSilent DownMode = "silent"
)

// PlatformFaults are the faults of the stand-in platform.
type PlatformFaults struct {
	// Down makes an outage for all entry VMs.
	Down bool `json:"down"`
	// DownEntries limits the outage to callers with these ids (header X-Entry)
	// or IP addresses.
	DownEntries []string `json:"down_entries"`
	// DownCalls limits the outage to kinds of calls: "store", "machines" or the
	// names in the counts.
	DownCalls []string `json:"down_calls"`
	DownMode  DownMode `json:"down_mode"`

	// DelaySeconds passes before a call takes effect. A write takes effect even
	// when its caller has gone meanwhile.
	DelaySeconds float64 `json:"delay_seconds"`
	// AnswerDelaySeconds passes between the effect and the answer.
	AnswerDelaySeconds float64 `json:"answer_delay_seconds"`

	// LoseNext loses the answers of the next writes that take effect.
	LoseNext int `json:"lose_next"`
	// LoseProbability loses the answer of a write that took effect.
	LoseProbability float64 `json:"lose_probability"`
	// DropNext closes the connection of the next writes before they take effect.
	DropNext int `json:"drop_next"`
	// DropProbability closes the connection of a write before it takes effect.
	DropProbability float64 `json:"drop_probability"`
	// LoseCalls names the kinds of calls that are lost or dropped. The default
	// is every write but lease_keepalive.
	LoseCalls []string `json:"lose_calls"`
	// Seed starts the random numbers of the probabilities anew.
	Seed uint64 `json:"seed"`

	// ListLagSeconds is the age of the list of VMs.
	ListLagSeconds float64 `json:"list_lag_seconds"`
}

// faults holds the faults in force.
type faults struct {
	mu      sync.Mutex
	current PlatformFaults
	random  *rand.Rand
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

func newFaults(f PlatformFaults) *faults {
	return &faults{current: f, random: seeded(f.Seed), changed: make(chan struct{})}
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

func (f *faults) get() (PlatformFaults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// update changes the faults in one step.
func (f *faults) update(change func(*PlatformFaults) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.current
	// Decoding JSON into the copy must not write into slices that readers hold.
	next.DownEntries = slices.Clone(next.DownEntries)
	next.DownCalls = slices.Clone(next.DownCalls)
	next.LoseCalls = slices.Clone(next.LoseCalls)
	if err := change(&next); err != nil {
		return err
	}
	if next.Seed != f.current.Seed {
		f.random = seeded(next.Seed)
	}
	f.current = next
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// loseAnswer decides whether the answer of a write that took effect is lost.
func (f *faults) loseAnswer(k kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hit(k, &f.current.LoseNext, f.current.LoseProbability)
}

// drop decides whether a write is dropped before it takes effect.
func (f *faults) drop(k kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hit(k, &f.current.DropNext, f.current.DropProbability)
}

func (f *faults) hit(k kind, next *int, probability float64) bool {
	if !k.write || !f.losable(k) {
		return false
	}
	if *next > 0 {
		*next--
		return true
	}
	return probability > 0 && f.random.Float64() < probability
}

func (f *faults) losable(k kind) bool {
	if len(f.current.LoseCalls) == 0 {
		// Keep-alives come each second and would use up the counts.
		return k.name != "lease_keepalive"
	}
	return k.in(f.current.LoseCalls)
}

// down reports whether the outage applies to a call.
func (p *PlatformFaults) down(k kind, r *http.Request) bool {
	if !p.Down && len(p.DownEntries) == 0 {
		return false
	}
	if len(p.DownCalls) > 0 && !k.in(p.DownCalls) {
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
