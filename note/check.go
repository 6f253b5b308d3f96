package note

import (
	"fmt"
	"math"
	"regexp"
	"unicode"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/tomlfile"
)

// Upper limits of the numbers in a note. They lie well above the sizes the
// project is planned for and refuse slips of the keyboard.
const (
	maxName                 = 63
	maxNoteName             = 120
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

// checker checks a note on its own.
type checker struct {
	index *tomlfile.Index
	found findings.List
	// vms maps each VM to the pool that the note puts it into.
	vms map[string]string
}

func (c *checker) add(path, format string, args ...any) {
	c.found.Add(c.index.At(path), format, args...)
}

func (c *checker) note(d *document) {
	switch {
	case d.Note.Name == "":
		c.add("note", "note.name is missing")
	case len(d.Note.Name) > maxNoteName || !printable(d.Note.Name):
		c.add("note.name", "note.name must be at most %d printable characters", maxNoteName)
	}
	switch {
	case d.Note.Base == nil:
		c.add("note", "note.base is missing; it is the revision that the note is written against, 0 for the first note")
	case *d.Note.Base < 0:
		c.add("note.base", "note.base is %d, must not be negative", *d.Note.Base)
	}
	entries := c.pools(&d.Pool) + c.services(&d.Service) + c.waves(&d.Wave) + c.teams(&d.Team)
	if entries == 0 {
		c.add("note", "the note changes nothing")
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

// names checks the names of the entries of one kind. A name occurs once.
type names struct {
	*checker
	kind string
	seen map[string]string
}

func (c *checker) names(kind string) *names {
	return &names{checker: c, kind: kind, seen: map[string]string{}}
}

func (n *names) check(path, name string) {
	switch {
	case name == "":
		n.add(path, "%s has no name", path)
		return
	case len(name) > maxName || !itemName.MatchString(name):
		n.add(path+".name", "%s name %q must be 1 to %d lower-case letters, digits and inner hyphens", n.kind, name, maxName)
	}
	if first, ok := n.seen[name]; ok {
		n.add(path+".name", "%s %q occurs twice in the note, first as %s in line %d", n.kind, name, first, n.index.At(first).Line)
		return
	}
	n.seen[name] = path
}

func (n *names) withdrawals(entries []withdrawEntry) {
	for i, e := range entries {
		n.check(fmt.Sprintf("%s.withdraw[%d]", n.kind, i), e.Name)
	}
}

// changes reports a change that names nothing to change.
func (c *checker) changes(path string, any bool) {
	if !any {
		c.add(path, "%s changes nothing", path)
	}
}

func (c *checker) pools(s *poolSection) int {
	n := c.names("pool")
	for i, e := range s.Add {
		path := fmt.Sprintf("pool.add[%d]", i)
		n.check(path, e.Name)
		c.pool(path, e)
		for _, field := range []string{"add_vms", "remove_vms"} {
			if c.index.Has(path + "." + field) {
				c.add(path+"."+field, "%s belongs to pool.change; a new pool lists its VMs in vms", field)
			}
		}
	}
	for i, e := range s.Change {
		path := fmt.Sprintf("pool.change[%d]", i)
		n.check(path, e.Name)
		c.pool(path, e)
		if e.VMs != nil && (len(e.AddVMs) > 0 || len(e.RemoveVMs) > 0) {
			c.add(path+".vms", "vms replaces the whole list and cannot stand beside add_vms or remove_vms")
		}
		c.changes(path, e.VMs != nil || len(e.AddVMs) > 0 || len(e.RemoveVMs) > 0 || e.Spare != nil ||
			e.MinimumVMs != nil || e.SlotsPerWorker != nil || e.ConnectionsPerWorker != nil)
	}
	n.withdrawals(s.Withdraw)
	return len(s.Add) + len(s.Change) + len(s.Withdraw)
}

func (c *checker) pool(path string, e poolEntry) {
	if e.VMs != nil {
		c.joins(path+".vms", e.Name, *e.VMs)
	}
	c.joins(path+".add_vms", e.Name, e.AddVMs)
	removed := map[string]bool{}
	for i, vm := range e.RemoveVMs {
		at := fmt.Sprintf("%s.remove_vms[%d]", path, i)
		c.vm(at, vm)
		if removed[vm] {
			c.add(at, "VM %q is removed twice", vm)
		}
		removed[vm] = true
	}
	checkNumber(c, path+".minimum_vms", e.MinimumVMs, 0, maxVMs)
	checkNumber(c, path+".slots_per_worker", e.SlotsPerWorker, 1, maxSlotsPerWorker)
	checkNumber(c, path+".connections_per_worker", e.ConnectionsPerWorker, 1, maxConnectionsPerWorker)
}

// joins checks a list of VMs that the note puts into a pool.
func (c *checker) joins(path, pool string, vms []string) {
	for i, vm := range vms {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.vm(at, vm)
		other, ok := c.vms[vm]
		switch {
		case ok && other == pool:
			c.add(at, "VM %q is listed twice in pool %q", vm, pool)
		case ok:
			c.add(at, "VM %q is in two pools, %q and %q", vm, other, pool)
		default:
			c.vms[vm] = pool
		}
	}
}

func (c *checker) vm(path, vm string) {
	if len(vm) > maxName || !vmName.MatchString(vm) {
		c.add(path, "VM %q must be 1 to %d letters, digits, dots, hyphens and underscores", vm, maxName)
	}
}

func (c *checker) services(s *serviceSection) int {
	n := c.names("service")
	for i, e := range s.Add {
		path := fmt.Sprintf("service.add[%d]", i)
		n.check(path, e.Name)
		c.service(path, e)
		if e.Pool == nil {
			c.add(path, "service %q has no pool", e.Name)
		}
	}
	for i, e := range s.Change {
		path := fmt.Sprintf("service.change[%d]", i)
		n.check(path, e.Name)
		c.service(path, e)
		c.changes(path, e.Pool != nil || e.MaxUnavailable != nil || e.DeadlineSeconds != nil ||
			e.MaxQueue != nil || e.MaxBodyBytes != nil)
	}
	n.withdrawals(s.Withdraw)
	return len(s.Add) + len(s.Change) + len(s.Withdraw)
}

func (c *checker) service(path string, e serviceEntry) {
	checkNumber(c, path+".max_unavailable", e.MaxUnavailable, 0, maxVMs)
	checkNumber(c, path+".max_queue", e.MaxQueue, 1, maxQueue)
	checkNumber(c, path+".max_body_bytes", e.MaxBodyBytes, 0, maxBodyBytes)
	if d := e.DeadlineSeconds; d != nil && (math.IsNaN(*d) || *d <= 0 || *d > maxDeadlineSeconds) {
		c.add(path+".deadline_seconds", "deadline_seconds is %v, must be more than 0 and at most %d", *d, maxDeadlineSeconds)
	}
}

func (c *checker) waves(s *waveSection) int {
	n := c.names("wave")
	for i, e := range s.Add {
		path := fmt.Sprintf("wave.add[%d]", i)
		n.check(path, e.Name)
		c.wave(path, e)
		if e.Pools == nil {
			c.add(path, "wave %q names no pools", e.Name)
		}
	}
	for i, e := range s.Change {
		path := fmt.Sprintf("wave.change[%d]", i)
		n.check(path, e.Name)
		c.wave(path, e)
		c.changes(path, e.Pools != nil || e.MaxConcurrent != nil)
	}
	n.withdrawals(s.Withdraw)
	return len(s.Add) + len(s.Change) + len(s.Withdraw)
}

func (c *checker) wave(path string, e waveEntry) {
	checkNumber(c, path+".max_concurrent", e.MaxConcurrent, 1, maxVMs)
	if e.Pools == nil {
		return
	}
	if len(*e.Pools) == 0 {
		c.add(path+".pools", "wave %q names no pools", e.Name)
	}
	seen := map[string]bool{}
	for i, pool := range *e.Pools {
		if seen[pool] {
			c.add(fmt.Sprintf("%s.pools[%d]", path, i), "pool %q is listed twice", pool)
		}
		seen[pool] = true
	}
}

func (c *checker) teams(s *teamSection) int {
	n := c.names("team")
	for i, e := range s.Add {
		path := fmt.Sprintf("team.add[%d]", i)
		n.check(path, e.Name)
		checkNumber(c, path+".slot_quota", e.SlotQuota, 1, maxSlotQuota)
	}
	for i, e := range s.Change {
		path := fmt.Sprintf("team.change[%d]", i)
		n.check(path, e.Name)
		checkNumber(c, path+".slot_quota", e.SlotQuota, 1, maxSlotQuota)
		c.changes(path, e.SlotQuota != nil)
	}
	n.withdrawals(s.Withdraw)
	return len(s.Add) + len(s.Change) + len(s.Withdraw)
}

func checkNumber[T int | int64](c *checker, path string, value *T, low, high T) {
	if value != nil && (*value < low || *value > high) {
		c.add(path, "%s is %d, must be from %d to %d", path, *value, low, high)
	}
}
