package note

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dotterelhead.example/dotterelhead/findings"
)

// MaxRecentNotes is the number of publish identifiers that the configuration
// keeps.
const MaxRecentNotes = 64

// Apply returns the configuration that results from applying the note to c, with
// the next revision. When there are findings, it returns c unchanged. Findings
// are marked as conflicts if they are due to notes that were accepted after the
// note's base.
//
// Invariant: in every configuration that results from a note, a VM is in at most
// one pool, and the revision is one higher than that of c.
func Apply(c Config, n *Note) (Config, findings.List) {
	a := &applier{
		note:       n,
		old:        c,
		revision:   c.Revision + 1,
		entryPaths: map[string]string{},
		vmPaths:    map[string]string{},
	}
	if n.Base > c.Revision {
		a.addFinding("note.base", "note.base is %d, but the revision in force is %d", n.Base, c.Revision)
		return c, a.found
	}
	a.pools = newItems("pool", c.Pools, func(p *Pool) (string, *int64) { return p.Name, &p.LastChangedRevision })
	a.services = newItems("service", c.Services, func(s *Service) (string, *int64) { return s.Name, &s.LastChangedRevision })
	a.waves = newItems("wave", c.Waves, func(w *Wave) (string, *int64) { return w.Name, &w.LastChangedRevision })
	a.teams = newItems("team", c.Teams, func(t *Team) (string, *int64) { return t.Name, &t.LastChangedRevision })
	a.applyPools()
	a.applyServices()
	a.applyWaves()
	a.applyTeams()
	a.checkMembership()
	a.checkWithdrawnPools()
	a.checkPools()
	a.checkServices()
	a.checkWaves()
	if len(a.found) > 0 {
		return c, a.found.Limited()
	}
	next := Config{
		Revision: a.revision,
		Pools:    a.pools.sorted(),
		Services: a.services.sorted(),
		Waves:    a.waves.sorted(),
		Teams:    a.teams.sorted(),
		LastNote: n.Text,
	}
	next.RecentNotes = append(slices.Clone(c.RecentNotes), PublishRecord{ID: n.ID, Name: n.Name, Revision: next.Revision})
	next.RecentNotes = next.RecentNotes[max(len(next.RecentNotes)-MaxRecentNotes, 0):]
	return next, nil
}

// Published returns the record of a recently accepted note: one of the last
// MaxRecentNotes.
func (c Config) Published(id string) (PublishRecord, bool) {
	for _, p := range c.RecentNotes {
		if p.ID == id {
			return p, true
		}
	}
	return PublishRecord{}, false
}

// CheckSize returns a finding if the configuration does not fit into one value of
// the store. The finding points at the note that the configuration results from.
func (c Config) CheckSize(n *Note) findings.List {
	var found findings.List
	if size := len(c.Encode()); size > MaxDocumentBytes {
		found.Add(n.index.At("note"), "the configuration with this note has %d bytes, more than %d; split the note or withdraw items",
			size, MaxDocumentBytes)
	}
	return found
}

// items holds the items of one kind while a note is applied. An item is a pool,
// a service, a wave or a team.
type items[T any] struct {
	kind   string
	byName map[string]*T
	// nameAndRevision returns the name of an item and its LastChangedRevision.
	nameAndRevision func(*T) (string, *int64)
}

func newItems[T any](kind string, list []T, nameAndRevision func(*T) (string, *int64)) *items[T] {
	s := &items[T]{kind: kind, byName: make(map[string]*T, len(list)), nameAndRevision: nameAndRevision}
	for _, item := range list {
		name, _ := nameAndRevision(&item)
		s.byName[name] = &item
	}
	return s
}

func (s *items[T]) sorted() []T {
	list := make([]T, 0, len(s.byName))
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		list = append(list, *s.byName[name])
	}
	return list
}

// applier holds the state while a note is applied.
type applier struct {
	note     *Note
	old      Config
	revision int64
	pools    *items[Pool]
	services *items[Service]
	waves    *items[Wave]
	teams    *items[Team]
	// entryPaths maps each item that the note names, as "kind name", to the path
	// of its entry in the note. vmPaths maps each VM to the path that adds it
	// to a pool.
	entryPaths map[string]string
	vmPaths    map[string]string
	found      findings.List
}

func (a *applier) addFinding(path, format string, args ...any) {
	a.found.Add(a.note.index.At(path), format, args...)
}

func (a *applier) addConflict(path, format string, args ...any) {
	a.found.AddConflict(a.note.index.At(path), format, args...)
}

// report adds a conflict or a plain finding.
func (a *applier) report(conflict bool, path, format string, args ...any) {
	if conflict {
		a.addConflict(path, format, args...)
	} else {
		a.addFinding(path, format, args...)
	}
}

// stale reports whether other notes were accepted after the base of this one.
func (a *applier) stale() bool { return a.note.Base < a.old.Revision }

// create adds an item, or a finding if the name is taken.
func create[T any](a *applier, s *items[T], path, name string, item T) {
	a.entryPaths[s.kind+" "+name] = path
	if existing, ok := s.byName[name]; ok {
		if _, lastChangedRevision := s.nameAndRevision(existing); *lastChangedRevision > a.note.Base {
			a.addConflict(path+".name", "%s %q exists: revision %d touched it, after base %d", s.kind, name, *lastChangedRevision, a.note.Base)
		} else {
			a.addFinding(path+".name", "%s %q already exists", s.kind, name)
		}
		return
	}
	_, lastChangedRevision := s.nameAndRevision(&item)
	*lastChangedRevision = a.revision
	s.byName[name] = &item
}

// findAndTouch returns the item that a change or withdrawal names and sets its
// LastChangedRevision to the revision of this note. It adds a conflict if a note
// accepted after the base added or changed the item. If the item does not exist,
// it adds a finding and returns nil.
func findAndTouch[T any](a *applier, s *items[T], path, name string) *T {
	a.entryPaths[s.kind+" "+name] = path
	item, ok := s.byName[name]
	if !ok {
		if a.stale() {
			a.addConflict(path+".name", "%s %q does not exist at revision %d; the note was written against %d",
				s.kind, name, a.old.Revision, a.note.Base)
		} else {
			a.addFinding(path+".name", "%s %q does not exist", s.kind, name)
		}
		return nil
	}
	_, lastChangedRevision := s.nameAndRevision(item)
	if *lastChangedRevision > a.note.Base {
		a.addConflict(path+".name", "%s %q: revision %d touched it, after base %d", s.kind, name, *lastChangedRevision, a.note.Base)
	}
	*lastChangedRevision = a.revision
	return item
}

func withdraw[T any](a *applier, s *items[T], entries []withdrawEntry) {
	for i, e := range entries {
		if findAndTouch(a, s, fmt.Sprintf("%s.withdraw[%d]", s.kind, i), e.Name) != nil {
			delete(s.byName, e.Name)
		}
	}
}

func (a *applier) applyPools() {
	for i, e := range a.note.doc.Pool.Add {
		path := fmt.Sprintf("pool.add[%d]", i)
		p := Pool{Name: e.Name, SlotsPerWorker: DefaultSlotsPerWorker, ConnectionsPerWorker: DefaultConnectionsPerWorker}
		a.editPool(path, &p, e)
		if e.MinimumVMs == nil && !p.Spare {
			p.MinimumVMs = min(DefaultMinimumVMs, len(p.VMs))
		}
		create(a, a.pools, path, e.Name, p)
	}
	for i, e := range a.note.doc.Pool.Change {
		path := fmt.Sprintf("pool.change[%d]", i)
		if p := findAndTouch(a, a.pools, path, e.Name); p != nil {
			a.editPool(path, p, e)
		}
	}
	withdraw(a, a.pools, a.note.doc.Pool.Withdraw)
}

// editPool applies an entry to a pool. It never modifies p.VMs in place, because
// the old configuration shares the slice.
func (a *applier) editPool(path string, p *Pool, e poolEntry) {
	if e.VMs != nil {
		p.VMs = slices.Clone(*e.VMs)
		for i, vm := range p.VMs {
			a.vmPaths[vm] = fmt.Sprintf("%s.vms[%d]", path, i)
		}
	}
	members := map[string]bool{}
	for _, vm := range p.VMs {
		members[vm] = true
	}
	for i, vm := range e.RemoveVMs {
		if !members[vm] {
			a.addFinding(fmt.Sprintf("%s.remove_vms[%d]", path, i), "VM %q is not in pool %q", vm, p.Name)
		}
		delete(members, vm)
	}
	if len(e.RemoveVMs) > 0 {
		p.VMs = slices.DeleteFunc(slices.Clone(p.VMs), func(vm string) bool { return !members[vm] })
	}
	for i, vm := range e.AddVMs {
		at := fmt.Sprintf("%s.add_vms[%d]", path, i)
		if members[vm] {
			a.addFinding(at, "VM %q is already in pool %q", vm, p.Name)
			continue
		}
		a.vmPaths[vm] = at
		p.VMs = append(slices.Clip(p.VMs), vm)
	}
	setIfPresent(&p.Spare, e.Spare)
	setIfPresent(&p.MinimumVMs, e.MinimumVMs)
	setIfPresent(&p.SlotsPerWorker, e.SlotsPerWorker)
	setIfPresent(&p.ConnectionsPerWorker, e.ConnectionsPerWorker)
}

func (a *applier) applyServices() {
	edit := func(s *Service, e serviceEntry) {
		setIfPresent(&s.Pool, e.Pool)
		setIfPresent(&s.MaxUnavailable, e.MaxUnavailable)
		setIfPresent(&s.DeadlineSeconds, e.DeadlineSeconds)
		setIfPresent(&s.MaxQueue, e.MaxQueue)
		setIfPresent(&s.MaxBodyBytes, e.MaxBodyBytes)
	}
	for i, e := range a.note.doc.Service.Add {
		s := Service{Name: e.Name, MaxUnavailable: DefaultMaxUnavailable, DeadlineSeconds: DefaultDeadlineSeconds,
			MaxQueue: DefaultMaxQueue, MaxBodyBytes: DefaultMaxBodyBytes}
		edit(&s, e)
		create(a, a.services, fmt.Sprintf("service.add[%d]", i), e.Name, s)
	}
	for i, e := range a.note.doc.Service.Change {
		if s := findAndTouch(a, a.services, fmt.Sprintf("service.change[%d]", i), e.Name); s != nil {
			edit(s, e)
		}
	}
	withdraw(a, a.services, a.note.doc.Service.Withdraw)
}

func (a *applier) applyWaves() {
	edit := func(w *Wave, e waveEntry) {
		if e.Pools != nil {
			w.Pools = slices.Clone(*e.Pools)
		}
		setIfPresent(&w.MaxConcurrent, e.MaxConcurrent)
	}
	for i, e := range a.note.doc.Wave.Add {
		w := Wave{Name: e.Name, MaxConcurrent: DefaultMaxConcurrent}
		edit(&w, e)
		create(a, a.waves, fmt.Sprintf("wave.add[%d]", i), e.Name, w)
	}
	for i, e := range a.note.doc.Wave.Change {
		if w := findAndTouch(a, a.waves, fmt.Sprintf("wave.change[%d]", i), e.Name); w != nil {
			edit(w, e)
		}
	}
	withdraw(a, a.waves, a.note.doc.Wave.Withdraw)
}

func (a *applier) applyTeams() {
	for i, e := range a.note.doc.Team.Add {
		t := Team{Name: e.Name, SlotQuota: DefaultSlotQuota}
		setIfPresent(&t.SlotQuota, e.SlotQuota)
		create(a, a.teams, fmt.Sprintf("team.add[%d]", i), e.Name, t)
	}
	for i, e := range a.note.doc.Team.Change {
		if t := findAndTouch(a, a.teams, fmt.Sprintf("team.change[%d]", i), e.Name); t != nil {
			setIfPresent(&t.SlotQuota, e.SlotQuota)
		}
	}
	withdraw(a, a.teams, a.note.doc.Team.Withdraw)
}

func setIfPresent[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}

// entryPath returns the path of the note's entry for the first of the given
// items that the note names. It returns false if the note names none of them: a
// violation that involves only these items is not caused by this note.
func (a *applier) entryPath(items ...string) (string, bool) {
	for _, item := range items {
		if path, ok := a.entryPaths[item]; ok {
			return path, true
		}
	}
	return "", false
}

// checkMembership reports every VM that would be in two pools.
func (a *applier) checkMembership() {
	poolOf := map[string]*Pool{}
	for _, name := range slices.Sorted(maps.Keys(a.pools.byName)) {
		p := a.pools.byName[name]
		for _, vm := range p.VMs {
			other, ok := poolOf[vm]
			if !ok {
				poolOf[vm] = p
				continue
			}
			if path, ok := a.vmPaths[vm]; ok {
				a.report(a.touchedAfterBase(other) || a.touchedAfterBase(p), path, "VM %q is in two pools, %q and %q", vm, other.Name, p.Name)
			}
		}
	}
}

// touchedAfterBase reports whether a note accepted after the base added or
// changed the pool.
func (a *applier) touchedAfterBase(p *Pool) bool {
	return p.LastChangedRevision > a.note.Base && p.LastChangedRevision != a.revision
}

// checkWithdrawnPools reports withdrawn pools with VMs that are in no other
// pool.
func (a *applier) checkWithdrawnPools() {
	inPool := map[string]bool{}
	for _, p := range a.pools.byName {
		for _, vm := range p.VMs {
			inPool[vm] = true
		}
	}
	for i, e := range a.note.doc.Pool.Withdraw {
		p, _ := a.old.Pool(e.Name)
		unassigned := slices.DeleteFunc(slices.Clone(p.VMs), func(vm string) bool { return inPool[vm] })
		if len(unassigned) > 0 {
			a.addFinding(fmt.Sprintf("pool.withdraw[%d].name", i), "pool %q is in use: %d of its VMs are in no other pool: %s",
				e.Name, len(unassigned), abbreviate(unassigned))
		}
	}
}

// abbreviate joins the first names of a list.
func abbreviate(names []string) string {
	const shown = 4
	if len(names) <= shown {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:shown], ", ") + ", ..."
}

func (a *applier) checkPools() {
	for name, p := range a.pools.byName {
		if path, ok := a.entryPath("pool " + name); ok && p.MinimumVMs > len(p.VMs) {
			a.addFinding(path+".minimum_vms", "pool %q has %d VMs, fewer than its minimum_vms of %d", name, len(p.VMs), p.MinimumVMs)
		}
	}
}

// checkServices reports services without a pool that can serve them.
func (a *applier) checkServices() {
	for name, s := range a.services.byName {
		p, exists := a.pools.byName[s.Pool]
		if !exists {
			a.missingPool(s.Pool, "service", name, ".pool")
			continue
		}
		if path, ok := a.entryPath("service "+name, "pool "+s.Pool); ok && p.Spare {
			a.addFinding(path, "service %q: pool %q is spare; a service cannot use a spare pool", name, s.Pool)
		}
	}
}

// missingPool reports that a service or wave uses a pool that does not exist.
func (a *applier) missingPool(pool, kind, name, field string) {
	if path, ok := a.entryPath("pool " + pool); ok && strings.HasPrefix(path, "pool.withdraw") {
		a.addFinding(path+".name", "pool %q is in use by %s %q", pool, kind, name)
	} else if path, ok := a.entryPath(kind + " " + name); ok {
		a.report(a.stale(), path+field, "%s %q: pool %q does not exist at revision %d", kind, name, pool, a.old.Revision)
	}
}

// checkWaves reports waves with pools that do not exist and waves that can never
// take a VM out of service without violating a minimum or an availability
// budget.
func (a *applier) checkWaves() {
	for name, w := range a.waves.byName {
		for i, pool := range w.Pools {
			if p, ok := a.pools.byName[pool]; ok {
				a.checkWavePool(w, p, fmt.Sprintf(".pools[%d]", i))
			} else {
				a.missingPool(pool, "wave", name, fmt.Sprintf(".pools[%d]", i))
			}
		}
	}
}

func (a *applier) checkWavePool(w *Wave, p *Pool, field string) {
	if len(p.VMs) == 0 {
		return
	}
	wave, pool := "wave "+w.Name, "pool "+p.Name
	if path, ok := a.entryPath(wave, pool); ok && p.MinimumVMs >= len(p.VMs) {
		a.addFinding(path+field, "wave %q can never finish: no VM of pool %q may be out of service, it has %d VMs and minimum_vms is %d",
			w.Name, p.Name, len(p.VMs), p.MinimumVMs)
	}
	for name, s := range a.services.byName {
		if s.Pool != p.Name || s.MaxUnavailable > 0 {
			continue
		}
		if path, ok := a.entryPath(wave, "service "+name, pool); ok {
			a.addFinding(path+field, "wave %q can never finish: service %q of pool %q has max_unavailable 0", w.Name, name, p.Name)
		}
	}
}
