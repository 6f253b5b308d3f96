package jobserver

import "sync"

const (
	// maxOrganisationLabels bounds the time series of one process: each organisation has one
	// for each status.
	maxOrganisationLabels = 100
	otherOrganisations    = "other"
)

// organisationLabels gives the first organisations that send requests a label of their own,
// and all further ones a common label.
type organisationLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

func (l *organisationLabels) of(organisation string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[organisation] {
		return organisation
	}
	if len(l.known) >= maxOrganisationLabels {
		return otherOrganisations
	}
	if l.known == nil {
		l.known = map[string]bool{}
	}
	l.known[organisation] = true
	return organisation
}
