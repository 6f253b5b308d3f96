package membership

import "time"

const (
	// T is how long an entry VM may keep sending after it last knew the fleet
	// document completely or last exchanged documents with a majority.
	T = 5 * time.Second
	// Margin is added to T by the holder of the control role before it fences
	// a VM.
	Margin = time.Second
)

// Permit decides whether this entry VM may send requests. It reads no clock: all
// times come from the caller, who takes them before the call that brought the
// information.
//
// Invariant: Valid holds only while the entry VM either knew the fleet document
// completely less than T ago and after its registration, or has exchanged
// documents within T with a majority of the registry it holds.
type Permit struct {
	self       string
	registered bool
	// registeredAt is when the registration was last recorded.
	registeredAt time.Time
	closed       bool
	// knownAt is when the fleet document was last known completely.
	knownAt time.Time
	// exchangedAt holds the start of the last complete exchange by member id.
	exchangedAt map[string]time.Time
	memberIDs   []string
}

// NewPermit returns a permit for an unregistered entry VM.
func NewPermit(self string) *Permit {
	return &Permit{self: self, exchangedAt: map[string]time.Time{}}
}

// Register records that the registration was known to be in the store at the
// given time. Knowledge of the fleet document from an earlier time does not
// count: the document may since record a release that did not wait for this
// entry VM.
func (p *Permit) Register(now time.Time) {
	p.registered = true
	p.registeredAt = now
}

// Unregister records that the entry VM is no longer registered.
func (p *Permit) Unregister() { p.registered = false }

// Close makes the permit invalid for good.
func (p *Permit) Close() { p.closed = true }

// Registered reports whether the registration is recorded.
func (p *Permit) Registered() bool { return p.registered }

// SetRegistry replaces the registry in which the majority is counted.
func (p *Permit) SetRegistry(r Registry) {
	p.memberIDs = p.memberIDs[:0]
	for _, rec := range r.Members {
		p.memberIDs = append(p.memberIDs, rec.ID)
	}
}

// StoreContact records that the fleet document was known completely at the given
// time.
func (p *Permit) StoreContact(at time.Time) {
	if at.After(p.knownAt) {
		p.knownAt = at
	}
}

// PeerContact records that documents were exchanged with a member in a call
// that this entry VM started at the given time.
func (p *Permit) PeerContact(id string, start time.Time) {
	if start.After(p.exchangedAt[id]) {
		p.exchangedAt[id] = start
	}
}

// StoreAge returns the time since the fleet document was last known completely;
// ok is false if it never was.
func (p *Permit) StoreAge(now time.Time) (age time.Duration, ok bool) {
	if p.knownAt.IsZero() {
		return 0, false
	}
	return now.Sub(p.knownAt), true
}

// Valid reports whether a request may be sent at the given time.
func (p *Permit) Valid(now time.Time) bool {
	if p.closed {
		return false
	}
	return p.knowsDocument(now) || p.Majority(now)
}

// knowsDocument reports whether the fleet document was known completely less
// than T ago and after the registration. It is never true for an unregistered
// entry VM, as nobody waits for its confirmation.
func (p *Permit) knowsDocument(now time.Time) bool {
	return p.Admitted() && now.Sub(p.knownAt) < T
}

// Admitted reports whether the fleet document was known completely after the
// registration. Until then the process counts towards no majority, not even its
// own: it may have replaced a process that confirmed a release of which it does
// not know.
func (p *Permit) Admitted() bool { return p.registered && p.knownAt.After(p.registeredAt) }

// Majority reports whether documents were exchanged within T with more than half
// of the registered members. This entry VM counts as one once it is admitted.
func (p *Permit) Majority(now time.Time) bool {
	reached := 0
	for _, id := range p.memberIDs {
		if id == p.self {
			if p.Admitted() {
				reached++
			}
			continue
		}
		if at, ok := p.exchangedAt[id]; ok && now.Sub(at) < T {
			reached++
		}
	}
	return 2*reached > len(p.memberIDs)
}
