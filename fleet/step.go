package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
)

// Entry is a registered entry VM as seen by the holder of the control role.
type Entry struct {
	ID          string
	QuorumFloor int
	// HeardRecently is true if the entry VM was heard from within
	// membership.PermitTTL, even if calls to it fail; PendingTransitions calls it
	// in contact. It is expected to confirm by itself, once its requests in flight
	// have ended.
	HeardRecently bool
	// Released holds the highest generation of each VM that the entry VM has
	// confirmed as released.
	Released map[string]int64
}

// Move requests that a VM changes its pool.
type Move struct {
	VM   string
	From string
	To   string
}

// MaintenanceStart requests maintenance of a VM.
type MaintenanceStart struct {
	VM   string
	Wave string
}

// WaveState is the state of a wave according to the maintenance plan.
type WaveState struct {
	Name     string
	Paused   bool
	Reason   string
	Finished bool
}

// BootReport is what the platform reported about a VM in this round.
type BootReport struct {
	Count int64
	// Gone is true when the VM does not exist on the platform.
	Gone bool
}

// Fence records since when releasedByQuorum has held for a releasing VM, as
// observed by the current holder of the control role. After Inputs.FenceWait the
// VM may be fenced: a reboot replaces the confirmations that are missing.
type Fence struct {
	Generation int64
	Since      time.Time
}

// Inputs holds everything that a step depends on besides the document.
type Inputs struct {
	Now time.Time
	// Term is the term of the holder; every change is written with it.
	Term   int64
	Config note.Config
	// VMList is the platform's list of VMs. An empty list is ignored.
	VMList []infrastructure.VM
	// Entries are the registered entry VMs. The registry must be read after
	// the document was known to be in the store, and the confirmations must be
	// collected before that read.
	Entries []Entry
	// Steady allows new transitions to start.
	Steady bool
	Moves  []Move
	Starts []MaintenanceStart
	Waves  []WaveState
	// Boots holds the answers to ActionReadBootCount by VM.
	Boots map[string]BootReport
	// Fences is the result of UpdateFences.
	Fences map[string]Fence
	// FenceWait is how long a VM must have been released by a quorum before
	// it may be fenced: membership.PermitTTL plus membership.FenceMargin.
	FenceWait time.Duration
}

// ActionKind names the platform call that an Action makes.
type ActionKind string

// Kinds of actions.
const (
	// ActionReadBootCount reads the boot count of a VM; the step is repeated with
	// the answer in Inputs.Boots.
	ActionReadBootCount ActionKind = "read-boot"
	// ActionReboot reboots a VM once the document is in the store.
	ActionReboot ActionKind = "reboot"
	// ActionDrain drains a VM once the document is in the store.
	ActionDrain ActionKind = "drain"
)

// Action is a call to the platform.
type Action struct {
	Kind      ActionKind
	VM        string
	Operation infrastructure.Operation
}

// Step returns the next document and the actions that go with it. It is a pure
// function. Every step repeats reboots and drains until it sees their effect;
// their operation ids make repeats harmless.
func Step(d Document, in Inputs) (Document, []Action) {
	s := newStepper(d, in)
	s.applyConfig()
	s.applyList()
	s.advanceTransitions()
	s.applyWaves()
	if in.Steady {
		s.computeUsage()
		s.startConfigMoves()
		s.startMoves()
		s.startMaintenance()
	}
	s.collectActions()
	return s.result(d), s.actions
}

// UpdateFences returns the fences of the releasing VMs that a quorum has
// released. A VM is dropped as soon as this no longer holds, which restarts the
// wait.
func UpdateFences(previous map[string]Fence, d Document, entries []Entry, now time.Time) map[string]Fence {
	out := map[string]Fence{}
	for _, vm := range d.VMs {
		if vm.Phase != Releasing || !releasedByQuorum(vm, entries) {
			continue
		}
		f, ok := previous[vm.ID]
		if !ok || f.Generation != vm.Generation {
			f = Fence{Generation: vm.Generation, Since: now}
		}
		out[vm.ID] = f
	}
	return out
}

// unconfirmed returns the entry VMs that have not confirmed the release of the
// VM in its current generation.
func unconfirmed(vm VM, entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if e.Released[vm.ID] < vm.Generation {
			out = append(out, e)
		}
	}
	return out
}

// releasedByQuorum reports whether a majority of the entry VMs has released the
// VM and the others make up less than half of any registry that one of them may
// still hold, so that they cannot form a majority among themselves.
func releasedByQuorum(vm VM, entries []Entry) bool {
	missing := unconfirmed(vm, entries)
	if 2*(len(entries)-len(missing)) <= len(entries) {
		return false
	}
	for _, e := range missing {
		if 2*len(missing) >= e.QuorumFloor {
			return false
		}
	}
	return true
}

// PendingTransition describes what a transition waits for.
type PendingTransition struct {
	VM      string  `json:"vm"`
	Pool    string  `json:"pool"`
	Phase   Phase   `json:"phase"`
	Purpose Purpose `json:"purpose"`
	// Entries are the entry VMs that have not confirmed the release.
	Entries []string `json:"entries,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// PendingTransitions describes for operators what each transition in progress
// waits for. The reason "no majority of the entry VMs has confirmed" is also
// given when a quorum floor rules out a fence. A VM that every entry VM has
// confirmed waits for the next step, or for a read of its boot count.
func PendingTransitions(d Document, in Inputs) []PendingTransition {
	var out []PendingTransition
	for _, vm := range d.VMs {
		if vm.Phase != Releasing && vm.Phase != Rebooting {
			continue
		}
		w := PendingTransition{VM: vm.ID, Pool: vm.Pool, Phase: vm.Phase, Purpose: vm.Purpose}
		if vm.Phase == Rebooting {
			w.Reason = fmt.Sprintf("the boot count is still %d", vm.ExpectedBoot)
			out = append(out, w)
			continue
		}
		missing := unconfirmed(vm, in.Entries)
		reachable := false
		for _, e := range missing {
			w.Entries = append(w.Entries, e.ID)
			reachable = reachable || e.HeardRecently
		}
		_, fencePending := in.Fences[vm.ID]
		switch {
		case len(missing) == 0:
			w.Reason = "confirmed by every entry VM"
		case reachable:
			w.Reason = "requests in flight on an entry VM that is in contact"
		case vm.Purpose == PurposeLeaving:
			w.Reason = "an entry VM out of contact has not confirmed; ends when the platform's list drops the VM"
		case fencePending:
			w.Reason = "an entry VM out of contact has not confirmed; a reboot follows"
		default:
			w.Reason = "no majority of the entry VMs has confirmed"
		}
		out = append(out, w)
	}
	return out
}

// stepper holds the state of one step.
type stepper struct {
	in        Inputs
	document  Document
	vms       map[string]*VM
	list      map[string]infrastructure.VM
	homePools map[string]string
	pools     map[string]note.Pool
	usage     map[string]*poolUsage
	sortedIDs []string
	actions   []Action
}

// poolUsage counts the VMs of a pool while new transitions are chosen.
type poolUsage struct {
	serving int
	// outOfService is the number of VMs out of service.
	outOfService int
	// budget is the availability budget; it applies if limited is true.
	budget  int
	limited bool
}

func newStepper(d Document, in Inputs) *stepper {
	s := &stepper{
		in: in, document: d,
		vms:       make(map[string]*VM, len(in.VMList)),
		list:      make(map[string]infrastructure.VM, len(in.VMList)),
		homePools: make(map[string]string, len(in.VMList)),
		pools:     map[string]note.Pool{},
	}
	for _, vm := range d.VMs {
		s.vms[vm.ID] = &vm
	}
	s.document.Waves = slices.Clone(d.Waves)
	for i := range s.document.Waves {
		s.document.Waves[i].Done = slices.Clone(s.document.Waves[i].Done)
	}
	for _, vm := range in.VMList {
		s.list[vm.ID] = vm
	}
	for _, p := range in.Config.Pools {
		s.pools[p.Name] = p
		for _, id := range p.VMs {
			s.homePools[id] = p.Name
		}
	}
	return s
}

// configApplicable reports whether the configuration may be applied. A holder
// with an outdated replica must not undo what a newer configuration has
// started.
func (s *stepper) configApplicable() bool {
	return s.in.Config.Revision > 0 && s.in.Config.Revision >= s.document.ConfigRevision
}

func (s *stepper) applyConfig() {
	if !s.configApplicable() {
		return
	}
	s.document.ConfigRevision = s.in.Config.Revision
	for _, vm := range s.vms {
		vm.HomePool = s.homePools[vm.ID]
	}
	var waves []WaveProgress
	for _, w := range s.in.Config.Waves {
		i := slices.IndexFunc(s.document.Waves, func(p WaveProgress) bool {
			return p.Name == w.Name && p.Revision == w.LastChangedRevision
		})
		if i >= 0 {
			waves = append(waves, s.document.Waves[i])
			continue
		}
		waves = append(waves, WaveProgress{Name: w.Name, Revision: w.LastChangedRevision})
	}
	s.document.Waves = waves
}

// applyList adds new VMs, takes leaving and missing ones out of service, and
// puts those that have returned back into service.
func (s *stepper) applyList() {
	if len(s.in.VMList) == 0 {
		return
	}
	if s.configApplicable() {
		for _, l := range s.in.VMList {
			if s.vms[l.ID] == nil && !l.EntryVM && l.State == infrastructure.VMLive && s.homePools[l.ID] != "" {
				s.vms[l.ID] = &VM{
					ID: l.ID, Pool: s.homePools[l.ID], HomePool: s.homePools[l.ID],
					Phase: Serving, Generation: s.document.LastGeneration + 1,
				}
				s.sortedIDs = nil
			}
		}
	}
	for _, vm := range s.vms {
		l, listed := s.list[vm.ID]
		if listed {
			vm.Address, vm.AvailabilityZone, vm.Rack = l.Address, l.AvailabilityZone, l.Rack
			vm.BootCount = max(vm.BootCount, l.BootCount)
		}
		switch {
		case !listed:
			s.handleMissing(vm)
		case l.BootCount < vm.BootCount:
			// The list entry is older than a reboot already seen. It may say
			// leaving only because of the drain before that reboot.
		case l.State == infrastructure.VMLeaving:
			s.handleLeaving(vm)
		case vm.Phase == Down:
			s.handleReturned(vm)
		}
	}
}

// handleMissing handles a VM that the list no longer contains. A rebooting VM
// may be absent during its reboot; advanceRebooting asks the platform about it.
func (s *stepper) handleMissing(vm *VM) {
	if vm.Phase != Down && vm.Phase != Rebooting {
		s.markDown(vm)
	}
}

// handleLeaving takes a VM out of service at once. A VM that is rebooting or
// under maintenance is skipped: it is out of service already, and the platform
// may list a drained VM as leaving.
func (s *stepper) handleLeaving(vm *VM) {
	switch {
	case vm.Phase == Serving, vm.Phase == Releasing && vm.Purpose == PurposeMove:
		s.clearTransition(vm)
		vm.Phase, vm.Purpose = Releasing, PurposeLeaving
	}
}

// handleReturned puts a VM back into service, by a move if its pool is not its
// home pool. The new generation gives the move a new operation id.
func (s *stepper) handleReturned(vm *VM) {
	if vm.HomePool == "" {
		return
	}
	vm.DownSinceUnixMillis = 0
	vm.Generation++
	if vm.Pool != vm.HomePool {
		s.beginMove(vm, vm.HomePool)
		return
	}
	vm.Phase = Serving
}

// clearTransition clears the fields that describe a transition.
func (s *stepper) clearTransition(vm *VM) {
	vm.Purpose, vm.TargetPool, vm.Wave = PurposeNone, "", ""
	vm.Operation, vm.ExpectedBoot = "", 0
}

// markDown marks a VM as down. It keeps the pool and the generation, because
// entry VMs may still have to release the VM.
func (s *stepper) markDown(vm *VM) {
	s.clearTransition(vm)
	vm.Phase = Down
	vm.DownSinceUnixMillis = s.in.Now.UnixMilli()
}

// advanceTransitions advances the transitions. Nothing else changes the pool of
// a VM.
func (s *stepper) advanceTransitions() {
	for _, id := range s.sortedVMIDs() {
		vm := s.vms[id]
		switch vm.Phase {
		case Releasing:
			s.advanceReleasing(vm)
		case Rebooting:
			s.advanceRebooting(vm)
		case Down:
			if vm.HomePool == "" && s.configApplicable() && s.releasedByAll(vm) {
				s.document.LastGeneration = max(s.document.LastGeneration, vm.Generation)
				delete(s.vms, id)
				s.sortedIDs = nil
			}
		}
	}
}

// releasedByAll reports whether every entry VM has released the VM.
func (s *stepper) releasedByAll(vm *VM) bool {
	return len(s.in.Entries) > 0 && len(unconfirmed(*vm, s.in.Entries)) == 0
}

func (s *stepper) advanceReleasing(vm *VM) {
	released := s.releasedByAll(vm)
	switch {
	case vm.Purpose == PurposeLeaving:
		if released {
			s.markDown(vm)
		}
	case released && vm.Purpose == PurposeMove:
		s.finishMove(vm)
	case released, s.mayFence(vm):
		s.startReboot(vm)
	}
}

// mayFence reports whether a reboot may replace the missing confirmations. It
// may not while one of them is that of a reachable entry VM, because a reboot
// would break the requests that it may have in flight.
func (s *stepper) mayFence(vm *VM) bool {
	f, ok := s.in.Fences[vm.ID]
	if !ok || f.Generation != vm.Generation || s.in.Now.Sub(f.Since) < s.in.FenceWait {
		return false
	}
	if !releasedByQuorum(*vm, s.in.Entries) {
		return false
	}
	return !slices.ContainsFunc(unconfirmed(*vm, s.in.Entries), func(e Entry) bool { return e.HeardRecently })
}

// startReboot records the operation and the boot count. The boot count is read
// only when the VM is released or may be fenced, so that an earlier reboot is
// not mistaken for this one.
func (s *stepper) startReboot(vm *VM) {
	boot, ok := s.in.Boots[vm.ID]
	switch {
	case !ok:
		s.actions = append(s.actions, Action{Kind: ActionReadBootCount, VM: vm.ID})
	case boot.Gone:
		s.markDown(vm)
	default:
		vm.Phase = Rebooting
		vm.ExpectedBoot = boot.Count
		vm.BootCount = max(vm.BootCount, boot.Count)
		if vm.Operation == "" {
			vm.Operation = fmt.Sprintf("fence/%s/%d", vm.ID, vm.Generation)
		}
	}
}

func (s *stepper) advanceRebooting(vm *VM) {
	boot, ok := s.in.Boots[vm.ID]
	switch {
	case !ok:
		s.actions = append(s.actions, Action{Kind: ActionReadBootCount, VM: vm.ID})
	case boot.Gone:
		s.markMaintained(vm)
		s.markDown(vm)
	case boot.Count > vm.ExpectedBoot:
		vm.BootCount = max(vm.BootCount, boot.Count)
		s.finishReboot(vm)
	}
}

func (s *stepper) finishReboot(vm *VM) {
	if vm.Purpose == PurposeMove {
		s.finishMove(vm)
		return
	}
	s.markMaintained(vm)
	s.clearTransition(vm)
	vm.Phase = Serving
	vm.Generation++
}

// markMaintained records that the wave of the VM, if any, is done with it.
func (s *stepper) markMaintained(vm *VM) {
	for i := range s.document.Waves {
		w := &s.document.Waves[i]
		if w.Name == vm.Wave && !slices.Contains(w.Done, vm.ID) {
			w.Done = append(w.Done, vm.ID)
			slices.Sort(w.Done)
		}
	}
}

// finishMove changes the pool. If the target pool has been withdrawn in the
// meantime, the VM goes to its home pool.
func (s *stepper) finishMove(vm *VM) {
	target := vm.TargetPool
	if s.configApplicable() {
		if _, ok := s.pools[target]; !ok && vm.HomePool != "" {
			target, vm.Lent = vm.HomePool, false
		}
	}
	s.clearTransition(vm)
	vm.Phase, vm.Pool = Serving, target
	vm.Generation++
	vm.MovedAtUnixMillis = s.in.Now.UnixMilli()
}

func (s *stepper) applyWaves() {
	for i := range s.document.Waves {
		for _, w := range s.in.Waves {
			if p := &s.document.Waves[i]; w.Name == p.Name {
				p.Paused, p.Reason, p.Finished = w.Paused, w.Reason, w.Finished
			}
		}
	}
}

// startConfigMoves applies changes of the configuration: VMs that it no longer
// names leave, and VMs whose home pool changed move there. A VM that is lent to
// another pool stays there until the capacity plan returns it.
func (s *stepper) startConfigMoves() {
	if !s.configApplicable() {
		return
	}
	for _, id := range s.sortedVMIDs() {
		vm := s.vms[id]
		_, exists := s.pools[vm.Pool]
		stays := vm.Pool == vm.HomePool || (exists && vm.Lent && vm.HomePool != "")
		if vm.Phase != Serving || stays || !s.takeOutOfService(vm.Pool) {
			continue
		}
		if vm.HomePool == "" {
			vm.Phase, vm.Purpose = Releasing, PurposeLeaving
			continue
		}
		s.beginMove(vm, vm.HomePool)
	}
}

// beginMove starts a move of the VM to another pool.
func (s *stepper) beginMove(vm *VM, to string) {
	vm.Phase, vm.Purpose, vm.TargetPool = Releasing, PurposeMove, to
	vm.Lent = false
}

func (s *stepper) startMoves() {
	for _, m := range s.in.Moves {
		vm := s.vms[m.VM]
		if vm == nil || vm.Phase != Serving || vm.Pool != m.From || m.From == m.To {
			continue
		}
		if _, ok := s.pools[m.To]; !ok || vm.HomePool == "" {
			continue
		}
		if s.usage[m.From].serving <= s.pools[m.From].MinimumVMs || !s.takeOutOfService(m.From) {
			continue
		}
		s.beginMove(vm, m.To)
		vm.Lent = m.To != vm.HomePool
	}
}

func (s *stepper) startMaintenance() {
	for _, m := range s.in.Starts {
		vm := s.vms[m.VM]
		if vm == nil || vm.Phase != Serving || !s.maintenancePending(m) || !s.takeOutOfService(vm.Pool) {
			continue
		}
		vm.Phase, vm.Purpose, vm.Wave = Releasing, PurposeMaintenance, m.Wave
		vm.Operation = fmt.Sprintf("wave/%s/%s/%d", m.Wave, vm.ID, vm.Generation)
	}
}

// maintenancePending reports whether the wave has yet to take the VM through
// maintenance.
func (s *stepper) maintenancePending(m MaintenanceStart) bool {
	return slices.ContainsFunc(s.document.Waves, func(w WaveProgress) bool {
		return w.Name == m.Wave && !w.Finished && !slices.Contains(w.Done, m.VM)
	})
}

// computeUsage computes the usage of every pool once, so that the cost of a
// step stays linear in the number of VMs.
func (s *stepper) computeUsage() {
	s.usage = map[string]*poolUsage{}
	for _, vm := range s.vms {
		u := s.usage[vm.Pool]
		if u == nil {
			u = &poolUsage{}
			u.budget, u.limited = Budget(s.in.Config, vm.Pool)
			s.usage[vm.Pool] = u
		}
		switch {
		case vm.Phase == Serving:
			u.serving++
		case !vm.Removed(s.in.Now):
			u.outOfService++
		}
	}
}

// takeOutOfService counts one more VM of the pool as out of service and returns
// true, or returns false if the availability budget is used up.
func (s *stepper) takeOutOfService(pool string) bool {
	u := s.usage[pool]
	if u.limited && u.outOfService >= u.budget {
		return false
	}
	u.serving--
	u.outOfService++
	return true
}

// RemovedAfter is how long a VM must be down before the platform is assumed to
// have removed it, so that a wave can finish even if the VM never returns. Until
// then the maintenance plan treats the VM as failed.
const RemovedAfter = 10 * time.Minute

// Removed reports whether the VM has been down for RemovedAfter. It then no
// longer counts against the availability budget of its pool.
func (vm VM) Removed(now time.Time) bool {
	return vm.Phase == Down && now.Sub(time.UnixMilli(vm.DownSinceUnixMillis)) >= RemovedAfter
}

// Budget returns the smallest availability budget of the services that use a
// pool; limited is false when no service uses it.
func Budget(c note.Config, pool string) (budget int, limited bool) {
	for _, service := range c.Services {
		if service.Pool == pool && (!limited || service.MaxUnavailable < budget) {
			budget, limited = service.MaxUnavailable, true
		}
	}
	return budget, limited
}

// collectActions derives reboots and drains from the document, so that they are
// repeated after a lost answer or a change of the holder of the control role.
func (s *stepper) collectActions() {
	for _, id := range s.sortedVMIDs() {
		vm := s.vms[id]
		switch {
		case vm.Phase == Rebooting:
			s.actions = append(s.actions, Action{
				Kind: ActionReboot, VM: id,
				Operation: infrastructure.Operation{ID: vm.Operation, ExpectedBoot: vm.ExpectedBoot},
			})
		case vm.Phase == Releasing && vm.Purpose == PurposeMaintenance:
			s.actions = append(s.actions, Action{
				Kind: ActionDrain, VM: id,
				Operation: infrastructure.Operation{ID: vm.Operation + "/drain", ExpectedBoot: vm.BootCount},
			})
		}
	}
}

// sortedVMIDs returns the sorted ids of the VMs. They are cached until a VM is
// added or removed.
func (s *stepper) sortedVMIDs() []string {
	if s.sortedIDs == nil {
		s.sortedIDs = slices.Sorted(maps.Keys(s.vms))
	}
	return s.sortedIDs
}

// result assembles the next document. The term changes only together with
// something else, so that a new holder with nothing to change writes nothing.
func (s *stepper) result(before Document) Document {
	s.document.VMs = make([]VM, 0, len(s.vms))
	for _, id := range s.sortedVMIDs() {
		s.document.VMs = append(s.document.VMs, *s.vms[id])
	}
	if !s.document.Equal(before) {
		s.document.Term = s.in.Term
	}
	return s.document
}
