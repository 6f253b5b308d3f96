package note

import (
	"fmt"
	"math"
	"regexp"
	"unicode"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/tomlfile"
)

// Upper limits of the values in a note. They are well above the sizes that the
// system is designed for and catch typing errors.
const (
	maxNameLength           = 63
	maxNoteNameLength       = 120
	maxVMs                  = 100_000
	maxSlotsPerWorker       = 1024
	maxConnectionsPerWorker = 65_535
	maxDeadlineSeconds      = 86_400
	maxQueue                = 1_000_000
	maxBodyBytes            = 1 << 30
	maxSlotQuota            = 10_000_000
)

var (
	// itemName keeps names usable in URL paths, metric labels and store keys.
	itemName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	vmName   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// checker checks a note without the configuration that it changes.
type checker struct {
	index *tomlfile.Index
	found findings.List
	// poolOfVM maps each VM to the pool that the note adds it to.
	poolOfVM map[string]string
}

func (c *checker) addFinding(path, format string, args ...any) {
	c.found.Add(c.index.At(path), format, args...)
}

func (c *checker) checkNote(d *document) {
	switch {
	case d.Note.Name == "":
		c.addFinding("note", "note.name is missing")
	case len(d.Note.Name) > maxNoteNameLength || !printable(d.Note.Name):
		c.addFinding("note.name", "note.name must be at most %d printable characters", maxNoteNameLength)
	}
	switch {
	case d.Note.Base == nil:
		c.addFinding("note", "note.base is missing; it is the revision that the note is written against, 0 for the first note")
	case *d.Note.Base < 0:
		c.addFinding("note.base", "note.base is %d, must not be negative", *d.Note.Base)
	}
	entries := c.checkPools(&d.Pool) + c.checkServices(&d.Service) + c.checkWaves(&d.Wave) + c.checkTeams(&d.Team)
	if entries == 0 {
		c.addFinding("note", "the note changes nothing")
	}
}

func printable(s string) bool {
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// nameChecker checks the names of the entries of one kind. Each name may occur
// only once in a note.
type nameChecker struct {
	*checker
	kind string
	seen map[string]string
}

func (c *checker) newNameChecker(kind string) *nameChecker {
	return &nameChecker{checker: c, kind: kind, seen: map[string]string{}}
}

func (n *nameChecker) check(path, name string) {
	switch {
	case name == "":
		n.addFinding(path, "%s has no name", path)
		return
	case len(name) > maxNameLength || !itemName.MatchString(name):
		n.addFinding(path+".name", "%s name %q must be 1 to %d lower-case letters, digits and inner hyphens", n.kind, name, maxNameLength)
	}
	if first, ok := n.seen[name]; ok {
		n.addFinding(path+".name", "%s %q occurs twice in the note, first as %s in line %d", n.kind, name, first, n.index.At(first).Line)
		return
	}
	n.seen[name] = path
}

func (n *nameChecker) checkWithdrawals(entries []withdrawEntry) {
	for i, e := range entries {
		n.check(fmt.Sprintf("%s.withdraw[%d]", n.kind, i), e.Name)
	}
}

// checkHasChanges reports a change entry that sets no field.
func (c *checker) checkHasChanges(path string, any bool) {
	if !any {
		c.addFinding(path, "%s changes nothing", path)
	}
}

func (c *checker) checkPools(s *poolSection) int {
	n := c.newNameChecker("pool")
	for i, e := range s.Add {
		path := fmt.Sprintf("pool.add[%d]", i)
		n.check(path, e.Name)
		c.checkPool(path, e)
		for _, field := range []string{"add_vms", "remove_vms"} {
			if c.index.Has(path + "." + field) {
				c.addFinding(path+"."+field, "%s belongs to pool.change; a new pool lists its VMs in vms", field)
			}
		}
	}
	for i, e := range s.Change {
		path := fmt.Sprintf("pool.change[%d]", i)
		n.check(path, e.Name)
		c.checkPool(path, e)
		if e.VMs != nil && (len(e.AddVMs) > 0 || len(e.RemoveVMs) > 0) {
			c.addFinding(path+".vms", "vms replaces the whole list and cannot be combined with add_vms or remove_vms")
		}
		c.checkHasChanges(path, e.VMs != nil || len(e.AddVMs) > 0 || len(e.RemoveVMs) > 0 || e.Spare != nil ||
			e.MinimumVMs != nil || e.SlotsPerWorker != nil || e.ConnectionsPerWorker != nil)
	}
	n.checkWithdrawals(s.Withdraw)
	return len(s.Add) + len(s.Change) + len(s.Withdraw)
}

func (c *checker) checkPool(path string, e poolEntry) {
	if e.VMs != nil {
		c.checkAddedVMs(path+".vms", e.Name, *e.VMs)
	}
	c.checkAddedVMs(path+".add_vms", e.Name, e.AddVMs)
	removed := map[string]bool{}
	for i, vm := range e.RemoveVMs {
		at := fmt.Sprintf("%s.remove_vms[%d]", path, i)
		c.checkVM(at, vm)
		if removed[vm] {
			c.addFinding(at, "VM %q is removed twice", vm)
		}
		removed[vm] = true
	}
	checkNumber(c, path+".minimum_vms", e.MinimumVMs, 0, maxVMs)
	checkNumber(c, path+".slots_per_worker", e.SlotsPerWorker, 1, maxSlotsPerWorker)
	checkNumber(c, path+".connections_per_worker", e.ConnectionsPerWorker, 1, maxConnectionsPerWorker)
}

// checkAddedVMs checks a list of VMs that the note adds to a pool.
func (c *checker) checkAddedVMs(path, pool string, vms []string) {
	for i, vm := range vms {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.checkVM(at, vm)
		other, ok := c.poolOfVM[vm]
		switch {
		case ok && other == pool:
			c.addFinding(at, "VM %q is listed twice in pool %q", vm, pool)
		case ok:
			c.addFinding(at, "VM %q is in two pools, %q and %q", vm, other, pool)
		default:
			c.poolOfVM[vm] = pool
		}
	}
}

func (c *checker) checkVM(path, vm string) {
	if len(vm) > maxNameLength || !vmName.MatchString(vm) {
		c.addFinding(path, "VM name %q must be 1 to %d letters, digits, dots, hyphens and underscores, and start with a letter or digit", vm, maxNameLength)
	}
}

func (c *checker) checkServices(s *serviceSection) int {
	n := c.newNameChecker("service")
	for i, e := range s.Add {
		path := fmt.Sprintf("service.add[%d]", i)
		n.check(path, e.Name)
		c.checkService(path, e)
		if e.Pool == nil {
			c.addFinding(path, "service %q has no pool", e.Name)
		}
	}
	for i, e := range s.Change {
		path := fmt.Sprintf("service.change[%d]", i)
		n.check(path, e.Name)
		c.checkService(path, e)
		c.checkHasChanges(path, e.Pool != nil || e.MaxUnavailable != nil || e.DeadlineSeconds != nil ||
			e.MaxQueue != nil || e.MaxBodyBytes != nil)
	}
	n.checkWithdrawals(s.Withdraw)
	return len(s.Add) + len(s.Change) + len(s.Withdraw)
}

func (c *checker) checkService(path string, e serviceEntry) {
	checkNumber(c, path+".max_unavailable", e.MaxUnavailable, 0, maxVMs)
	checkNumber(c, path+".max_queue", e.MaxQueue, 1, maxQueue)
	checkNumber(c, path+".max_body_bytes", e.MaxBodyBytes, 0, maxBodyBytes)
	if d := e.DeadlineSeconds; d != nil && (math.IsNaN(*d) || *d <= 0 || *d > maxDeadlineSeconds) {
		c.addFinding(path+".deadline_seconds", "deadline_seconds is %v, must be more than 0 and at most %d", *d, maxDeadlineSeconds)
	}
}

func (c *checker) checkWaves(s *waveSection) int {
	n := c.newNameChecker("wave")
	for i, e := range s.Add {
		path := fmt.Sprintf("wave.add[%d]", i)
		n.check(path, e.Name)
		c.checkWave(path, e)
		if e.Pools == nil {
			c.addFinding(path, "wave %q names no pools", e.Name)
		}
	}
	for i, e := range s.Change {
		path := fmt.Sprintf("wave.change[%d]", i)
		n.check(path, e.Name)
		c.checkWave(path, e)
		c.checkHasChanges(path, e.Pools != nil || e.MaxConcurrent != nil)
	}
	n.checkWithdrawals(s.Withdraw)
	return len(s.Add) + len(s.Change) + len(s.Withdraw)
}

func (c *checker) checkWave(path string, e waveEntry) {
	checkNumber(c, path+".max_concurrent", e.MaxConcurrent, 1, maxVMs)
	if e.Pools == nil {
		return
	}
	if len(*e.Pools) == 0 {
		c.addFinding(path+".pools", "wave %q names no pools", e.Name)
	}
	seen := map[string]bool{}
	for i, pool := range *e.Pools {
		if seen[pool] {
			c.addFinding(fmt.Sprintf("%s.pools[%d]", path, i), "pool %q is listed twice", pool)
		}
		seen[pool] = true
	}
}

func (c *checker) checkTeams(s *teamSection) int {
	n := c.newNameChecker("team")
	for i, e := range s.Add {
		path := fmt.Sprintf("team.add[%d]", i)
		n.check(path, e.Name)
		checkNumber(c, path+".slot_quota", e.SlotQuota, 1, maxSlotQuota)
	}
	for i, e := range s.Change {
		path := fmt.Sprintf("team.change[%d]", i)
		n.check(path, e.Name)
		checkNumber(c, path+".slot_quota", e.SlotQuota, 1, maxSlotQuota)
		c.checkHasChanges(path, e.SlotQuota != nil)
	}
	n.checkWithdrawals(s.Withdraw)
	return len(s.Add) + len(s.Change) + len(s.Withdraw)
}

func checkNumber[T int | int64](c *checker, path string, value *T, low, high T) {
	if value != nil && (*value < low || *value > high) {
		c.addFinding(path, "%s is %d, must be from %d to %d", path, *value, low, high)
	}
}
