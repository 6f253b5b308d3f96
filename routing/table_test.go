package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/fleet"
)

type fixedPermit struct{ valid bool }

func (p *fixedPermit) Valid(time.Time) bool { return p.valid }

// Guards against a VM that is reported as released while a request of its old
// generation is in flight or can still be admitted.
func TestReleasedOnlyWithoutRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		permit := &fixedPermit{valid: true}
		table := New(Options{Permit: permit})
		vm := fleet.VM{ID: "v", Pool: "p", Phase: fleet.Serving, Generation: 1}
		table.Update(fleet.Document{VMs: []fleet.VM{vm}})
		var tickets []*Ticket
		confirmed := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				generation := rapid.Int64Range(1, vm.Generation).Draw(t, "generation")
				ticket, err := table.Admit("v", generation)
				if err == nil {
					if generation <= confirmed || vm.Phase != fleet.Serving || !permit.valid {
						t.Fatalf("admitted generation %d, confirmed %d, VM %+v, permit %v", generation, confirmed, vm, permit.valid)
					}
					tickets = append(tickets, ticket)
				}
			case 1:
				if len(tickets) > 0 {
					tickets[0].Done()
					tickets[0].Done()
					tickets = tickets[1:]
				}
			case 2:
				if vm.Phase == fleet.Serving {
					vm.Phase = fleet.Releasing
				} else if confirmed == vm.Generation {
					vm.Phase = fleet.Serving
					vm.Generation++
				}
				table.Update(fleet.Document{VMs: []fleet.VM{vm}})
			case 3:
				permit.valid = !permit.valid
			}
			for _, released := range table.Released() {
				if len(tickets) > 0 || vm.Phase == fleet.Serving {
					t.Fatalf("released with %d requests in flight, VM %+v", len(tickets), vm)
				}
				confirmed = released.Generation
			}
			if table.InFlight() != len(tickets) {
				t.Fatalf("%d in flight, want %d", table.InFlight(), len(tickets))
			}
		}
	})
}
