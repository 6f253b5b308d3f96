package membership

import "time"

const (
	// T is the age beyond which knowledge and contacts no longer permit an
	// entry VM to send.
	T = 5 * time.Second
	// Margin is added to T by the control holder before it fences a VM.
	Margin = time.Second
)

// Permit decides whether this entry VM may send requests. It is pure: all
// times come from the caller and are taken at the start of the call that
// brought the knowledge.
//
// Invariant: Valid holds only while the entry VM either has complete knowledge
// of the fleet document younger than T, obtained after its registration, or
// has exchanged documents within T with a majority of the registry it holds.
type Permit struct {
	self       string
	registered bool
	since      time.Time
	closed     bool
	knowledge  time.Time
	contacts   map[string]time.Time
	members    []string
}

// NewPermit returns a permit for an unregistered entry VM.
func NewPermit(self string) *Permit {
	return &Permit{self: self, contacts: map[string]time.Time{}}
}

// Register records that the registration was known to be in the store at the
// given time. Knowledge of an earlier time does not count: a release written
// before the registration did not wait for this entry VM.
func (p *Permit) Register(now time.Time) {
	p.registered = true
	p.since = now
}

// Unregister records that the entry VM is no longer registered.
func (p *Permit) Unregister() { p.registered = false }

// Close ends the permit for good.
func (p *Permit) Close() { p.closed = true }

// Registered reports whether the entry VM counts itself as registered.
func (p *Permit) Registered() bool { return p.registered }

// SetRegistry replaces the registry in which the majority is counted.
func (p *Permit) SetRegistry(r Registry) {
	p.members = p.members[:0]
	for _, rec := range r.Members {
		p.members = append(p.members, rec.ID)
	}
}

// StoreContact records complete knowledge of the fleet document as of at.
func (p *Permit) StoreContact(at time.Time) {
	if at.After(p.knowledge) {
		p.knowledge = at
	}
}

// PeerContact records that documents were exchanged with a member in a call
// that this entry VM started at the given time.
func (p *Permit) PeerContact(id string, start time.Time) {
	if start.After(p.contacts[id]) {
		p.contacts[id] = start
	}
}

// StoreAge returns the age of the knowledge from the store; ok is false when
// there is none that counts.
func (p *Permit) StoreAge(now time.Time) (age time.Duration, ok bool) {
	if p.knowledge.IsZero() {
		return 0, false
	}
	return now.Sub(p.knowledge), true
}

// Valid reports whether a request may be sent at the given time.
func (p *Permit) Valid(now time.Time) bool {
	if p.closed {
		return false
	}
	return p.knows(now) || p.Majority(now)
}

// knows is rule 1. An unregistered entry VM never has it: nobody waits for its
// confirmation.
func (p *Permit) knows(now time.Time) bool {
	return p.Admitted() && now.Sub(p.knowledge) < T
}

// Admitted reports whether the fleet document was read completely after the
// registration. Until then the process counts in no quorum, not even in its
// own: it may have replaced a process that had confirmed a release which it
// does not know of itself.
func (p *Permit) Admitted() bool { return p.registered && p.knowledge.After(p.since) }

// Majority is rule 2: it reports whether documents were exchanged within T
// with more than half of the registry, itself included when admitted.
func (p *Permit) Majority(now time.Time) bool {
	reached := 0
	for _, id := range p.members {
		if id == p.self {
			if p.Admitted() {
				reached++
			}
			continue
		}
		if at, ok := p.contacts[id]; ok && now.Sub(at) < T {
			reached++
		}
	}
	return 2*reached > len(p.members)
}
