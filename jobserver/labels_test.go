package jobserver

import (
	"fmt"
	"testing"
)

// Guards against time series without a bound in a deployment with many organisations, and
// against one that loses its series to later ones.
func TestLabelsOfOrganisationsAreBounded(t *testing.T) {
	var l organisationLabels
	labels := map[string]bool{}
	for range 2 {
		for n := range 3 * maxOrganisationLabels {
			labels[l.of(fmt.Sprint("o", n))] = true
		}
	}
	if len(labels) != maxOrganisationLabels+1 || !labels[otherOrganisations] || l.of("o0") != "o0" {
		t.Errorf("%d labels, o0 has %q", len(labels), l.of("o0"))
	}
}
