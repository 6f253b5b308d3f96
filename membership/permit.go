package membership

import "time"

const (
	// PermitTTL is how long an entry VM may keep sending after it was last up to
	// date with the fleet document or last exchanged documents with a majority,
	// whichever is later.
	PermitTTL = 5 * time.Second
	// FenceMargin is added to PermitTTL by the holder of the control role before
	// it fences a VM.
	FenceMargin = time.Second
)

// Permit decides whether this entry VM may send requests. It reads no clock: all
// times come from the caller, who takes them before the call that brought the
// information.
//
// The entry VM was up to date at a given time if the version of the fleet
// document that it holds now is at least the one that the store held then. A
// read or watch of the store shows this for the start of the call, a complete
// exchange for the time at which the peer was up to date.
//
// Invariant: Valid holds only while the entry VM either was up to date less than
// PermitTTL ago and after its registration, or has exchanged documents within T
// with a majority of the registry it holds.
type Permit struct {
	self       string
	registered bool
	// registeredAt is when the registration was last recorded.
	registeredAt time.Time
	closed       bool
	// upToDateAt is when the entry VM was last up to date.
	upToDateAt time.Time
	// exchangedAt holds the start of the last complete exchange by member id.
	exchangedAt map[string]time.Time
	memberIDs   []string
}

// NewPermit returns a permit for an unregistered entry VM.
func NewPermit(self string) *Permit {
	return &Permit{self: self, exchangedAt: map[string]time.Time{}}
}

// Register records that the registration was known to be in the store at the
// given time. Having been up to date before that does not count: the release of
// a VM may have ended in between, without waiting for this entry VM.
func (p *Permit) Register(now time.Time) {
	p.registered = true
	p.registeredAt = now
}

// Unregister records that the entry VM is no longer registered.
func (p *Permit) Unregister() { p.registered = false }

// Close makes the permit invalid for good.
func (p *Permit) Close() { p.closed = true }

// Registered reports whether Register was called, without Unregister since.
func (p *Permit) Registered() bool { return p.registered }

// SetRegistry replaces the registry in which the majority is counted.
func (p *Permit) SetRegistry(r Registry) {
	p.memberIDs = p.memberIDs[:0]
	for _, rec := range r.Members {
		p.memberIDs = append(p.memberIDs, rec.ID)
	}
}

// RecordUpToDate records that the entry VM was up to date at the given time.
func (p *Permit) RecordUpToDate(at time.Time) {
	if at.After(p.upToDateAt) {
		p.upToDateAt = at
	}
}

// RecordExchange records that documents were exchanged with a member in a call
// that this entry VM started at the given time.
func (p *Permit) RecordExchange(id string, start time.Time) {
	if start.After(p.exchangedAt[id]) {
		p.exchangedAt[id] = start
	}
}

// FleetDocumentAge returns the time since the entry VM was last up to date; ok
// is false if it never was.
func (p *Permit) FleetDocumentAge(now time.Time) (age time.Duration, ok bool) {
	if p.upToDateAt.IsZero() {
		return 0, false
	}
	return now.Sub(p.upToDateAt), true
}

// Valid reports whether a request may be sent at the given time.
func (p *Permit) Valid(now time.Time) bool {
	if p.closed {
		return false
	}
	return p.isUpToDate(now) || p.Majority(now)
}

// isUpToDate reports whether the entry VM was up to date less than PermitTTL
// ago and after the registration. It is never true for an unregistered entry
// VM, as the holder of the control role does not wait for its confirmation.
func (p *Permit) isUpToDate(now time.Time) bool {
	return p.Admitted() && now.Sub(p.upToDateAt) < PermitTTL
}

// Admitted reports whether the entry VM was up to date after the registration.
// Until then the process counts towards no majority, not even its own: it may
// have replaced a process that confirmed a release of which it does not know.
func (p *Permit) Admitted() bool { return p.registered && p.upToDateAt.After(p.registeredAt) }

// Majority reports whether documents were exchanged within PermitTTL with more
// than half of the registered members. This entry VM counts as one once it is
// admitted.
func (p *Permit) Majority(now time.Time) bool {
	reached := 0
	for _, id := range p.memberIDs {
		if id == p.self {
			if p.Admitted() {
				reached++
			}
			continue
		}
		if at, ok := p.exchangedAt[id]; ok && now.Sub(at) < PermitTTL {
			reached++
		}
	}
	return 2*reached > len(p.memberIDs)
}
