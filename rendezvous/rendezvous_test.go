package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against a membership change that moves names between remaining
// members, and against an Owner that is not the first member of Order.
func TestOnlyNamesOfALeavingMemberMove(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	owned := map[string]int{}
	for i := range 400 {
		name := fmt.Sprint(i)
		owner := Owner(name, members)
		owned[owner]++
		if first := Order(name, members)[0]; first != owner {
			t.Fatalf("%s is owned by %s, first is %s", name, owner, first)
		}
		rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == "a" })
		if after := Owner(name, rest); owner != "a" && after != owner {
			t.Fatalf("%s moved from %s to %s although a left", name, owner, after)
		}
	}
	for _, member := range members {
		if owned[member] < 60 {
			t.Errorf("%s owns %d of 400 names", member, owned[member])
		}
	}
	if Owner("x", nil) != "" {
		t.Error("Owner returned a member for an empty list")
	}
}
