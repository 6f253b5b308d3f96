package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
)

// Entry is a registered entry VM as the control holder sees it.
type Entry struct {
	ID          string
	QuorumFloor int
	// Reachable is true while the holder is in contact with the entry VM. A
	// reachable entry VM that does not confirm still has requests in flight.
	Reachable bool
	// Released holds the highest generation released of each VM.
	Released map[string]int64
}

// Move asks for a VM to change its pool.
type Move struct {
	VM   string
	From string
	To   string
}

// Start asks for maintenance of a VM.
type Start struct {
	VM   string
	Wave string
}

// WaveState is what the maintenance plan says of a wave.
type WaveState struct {
	Name     string
	Paused   bool
	Reason   string
	Finished bool
}

// Boot is the record of a VM read from the platform in this round.
type Boot struct {
	Count int64
	// Gone is true when the platform does not know the VM.
	Gone bool
}

// Fence records since when a released VM may be fenced, counted by the present
// holder.
type Fence struct {
	Generation int64
	Since      time.Time
}

// Inputs are everything that a step depends on besides the document.
type Inputs struct {
	Now time.Time
	// Term is written with every change.
	Term   int64
	Config note.Config
	// List is the platform's list. Nothing is concluded from an empty one.
	List []infrastructure.VM
	// Entries are the registered entry VMs, read when the document was already
	// in the store. Their confirmations are older than that read.
	Entries []Entry
	// Steady allows new transitions.
	Steady bool
	Moves  []Move
	Starts []Start
	Waves  []WaveState
	// Boots answers ActionReadBoot.
	Boots map[string]Boot
	// Fences is the result of Observe.
	Fences map[string]Fence
	// FenceWait is T plus the margin.
	FenceWait time.Duration
}

// ActionKind says what an Action does.
type ActionKind string

// Kinds of actions.
const (
	// ActionReadBoot asks for the record of a VM; the step is repeated with
	// the answer in Inputs.Boots.
	ActionReadBoot ActionKind = "read-boot"
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

// Step returns the next document and the calls that belong to it. It is pure.
// Reboots and drains are repeated by every step until their effect is seen;
// their operation ids make a repeat harmless.
func Step(d Document, in Inputs) (Document, []Action) {
	s := newStepper(d, in)
	s.applyConfig()
	s.applyList()
	s.progress()
	s.applyWaves()
	if in.Steady {
		s.count()
		s.startConfigMoves()
		s.startMoves()
		s.startMaintenance()
	}
	s.collectActions()
	return s.result(d), s.actions
}

// Observe returns since when each releasing VM may be fenced. A VM is dropped
// as soon as a condition no longer holds, which restarts the wait.
func Observe(previous map[string]Fence, d Document, entries []Entry, now time.Time) map[string]Fence {
	out := map[string]Fence{}
	for _, vm := range d.VMs {
		if vm.Phase != Releasing || !quorumReleased(vm, entries) {
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

// unconfirmed returns the entry VMs that have not released the VM.
func unconfirmed(vm VM, entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if e.Released[vm.ID] < vm.Generation {
			out = append(out, e)
		}
	}
	return out
}

// quorumReleased reports whether a majority has released the VM and no
// majority that one of the others may count consists of the others alone.
func quorumReleased(vm VM, entries []Entry) bool {
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

// Wait says what a transition waits for.
type Wait struct {
	VM      string  `json:"vm"`
	Pool    string  `json:"pool"`
	Phase   Phase   `json:"phase"`
	Purpose Purpose `json:"purpose"`
	// Entries are the entry VMs that have not confirmed the release.
	Entries []string `json:"entries,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// Waits explains the transitions that are under way, for operators.
func Waits(d Document, in Inputs) []Wait {
	var out []Wait
	for _, vm := range d.VMs {
		if vm.Phase != Releasing && vm.Phase != Rebooting {
			continue
		}
		w := Wait{VM: vm.ID, Pool: vm.Pool, Phase: vm.Phase, Purpose: vm.Purpose}
		if vm.Phase == Rebooting {
			w.Reason = fmt.Sprintf("the boot count is still %d", vm.ExpectedBoot)
			out = append(out, w)
			continue
		}
		missing := unconfirmed(vm, in.Entries)
		reachable := false
		for _, e := range missing {
			w.Entries = append(w.Entries, e.ID)
			reachable = reachable || e.Reachable
		}
		_, fencing := in.Fences[vm.ID]
		switch {
		case len(missing) == 0:
			w.Reason = "confirmed by every entry VM"
		case reachable:
			w.Reason = "requests in flight on an entry VM that is in contact"
		case vm.Purpose == PurposeLeaving:
			w.Reason = "an entry VM out of contact has not confirmed; ends when the platform's list drops the VM"
		case fencing:
			w.Reason = "an entry VM out of contact has not confirmed; a reboot follows"
		default:
			w.Reason = "no majority of the entry VMs has confirmed"
		}
		out = append(out, w)
	}
	return out
}

type stepper struct {
	in      Inputs
	d       Document
	vms     map[string]*VM
	list    map[string]infrastructure.VM
	home    map[string]string
	pools   map[string]note.Pool
	usage   map[string]*usage
	ids     []string
	actions []Action
}

// usage is the state of a pool while new transitions are chosen.
type usage struct {
	serving int
	out     int
	budget  int
	limited bool
}

func newStepper(d Document, in Inputs) *stepper {
	s := &stepper{
		in: in, d: d,
		vms:   make(map[string]*VM, len(in.List)),
		list:  make(map[string]infrastructure.VM, len(in.List)),
		home:  make(map[string]string, len(in.List)),
		pools: map[string]note.Pool{},
	}
	for _, vm := range d.VMs {
		s.vms[vm.ID] = &vm
	}
	s.d.Waves = slices.Clone(d.Waves)
	for i := range s.d.Waves {
		s.d.Waves[i].Done = slices.Clone(s.d.Waves[i].Done)
	}
	for _, vm := range in.List {
		s.list[vm.ID] = vm
	}
	for _, p := range in.Config.Pools {
		s.pools[p.Name] = p
		for _, id := range p.VMs {
			s.home[id] = p.Name
		}
	}
	return s
}

// configured reports whether the configuration may be applied. A holder whose
// replica lags must not undo what a newer configuration has started.
func (s *stepper) configured() bool {
	return s.in.Config.Revision > 0 && s.in.Config.Revision >= s.d.ConfigRevision
}

func (s *stepper) applyConfig() {
	if !s.configured() {
		return
	}
	s.d.ConfigRevision = s.in.Config.Revision
	for _, vm := range s.vms {
		vm.HomePool = s.home[vm.ID]
	}
	var waves []WaveProgress
	for _, w := range s.in.Config.Waves {
		i := slices.IndexFunc(s.d.Waves, func(p WaveProgress) bool {
			return p.Name == w.Name && p.Revision == w.TouchedRevision
		})
		if i >= 0 {
			waves = append(waves, s.d.Waves[i])
			continue
		}
		waves = append(waves, WaveProgress{Name: w.Name, Revision: w.TouchedRevision})
	}
	s.d.Waves = waves
}

// applyList brings in new VMs, takes leaving and missing ones out, and brings
// back those that returned.
func (s *stepper) applyList() {
	if len(s.in.List) == 0 {
		return
	}
	if s.configured() {
		for _, l := range s.in.List {
			if s.vms[l.ID] == nil && !l.EntryVM && l.State == infrastructure.VMLive && s.home[l.ID] != "" {
				s.vms[l.ID] = &VM{
					ID: l.ID, Pool: s.home[l.ID], HomePool: s.home[l.ID],
					Phase: Serving, Generation: s.d.LastGeneration + 1,
				}
				s.ids = nil
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
			s.missing(vm)
		case l.BootCount < vm.BootCount:
			// The entry is older than a reboot that was seen, and the drain
			// before it may be why it says leaving.
		case l.State == infrastructure.VMLeaving:
			s.leaving(vm)
		case vm.Phase == Down:
			s.returned(vm)
		}
	}
}

// missing handles a VM that the list no longer contains. A rebooting VM may be
// absent for the time of its reboot; progress asks the platform about it.
func (s *stepper) missing(vm *VM) {
	if vm.Phase != Down && vm.Phase != Rebooting {
		s.down(vm)
	}
}

// leaving takes a VM out of service at once. A VM under maintenance is out of
// service already, and the platform may list a drained VM as leaving.
func (s *stepper) leaving(vm *VM) {
	switch {
	case vm.Phase == Serving, vm.Phase == Releasing && vm.Purpose == PurposeMove:
		s.endTransition(vm)
		vm.Phase, vm.Purpose = Releasing, PurposeLeaving
	}
}

// returned puts a VM back into service, through a move when its pool is not
// its home pool. The new generation gives the move an operation of its own.
func (s *stepper) returned(vm *VM) {
	if vm.HomePool == "" {
		return
	}
	vm.DownSinceUnixMillis = 0
	vm.Generation++
	if vm.Pool != vm.HomePool {
		s.release(vm, vm.HomePool)
		return
	}
	vm.Phase = Serving
}

func (s *stepper) endTransition(vm *VM) {
	vm.Purpose, vm.TargetPool, vm.Wave = PurposeNone, "", ""
	vm.Operation, vm.ExpectedBoot = "", 0
}

// down keeps pool and generation: entry VMs may still have to release it.
func (s *stepper) down(vm *VM) {
	s.endTransition(vm)
	vm.Phase = Down
	vm.DownSinceUnixMillis = s.in.Now.UnixMilli()
}

// progress carries transitions on. It is the only place that changes a pool.
func (s *stepper) progress() {
	for _, id := range s.order() {
		vm := s.vms[id]
		switch vm.Phase {
		case Releasing:
			s.progressReleasing(vm)
		case Rebooting:
			s.progressRebooting(vm)
		case Down:
			if vm.HomePool == "" && s.configured() && s.released(vm) {
				s.d.LastGeneration = max(s.d.LastGeneration, vm.Generation)
				delete(s.vms, id)
				s.ids = nil
			}
		}
	}
}

func (s *stepper) released(vm *VM) bool {
	return len(s.in.Entries) > 0 && len(unconfirmed(*vm, s.in.Entries)) == 0
}

func (s *stepper) progressReleasing(vm *VM) {
	released := s.released(vm)
	switch {
	case vm.Purpose == PurposeLeaving:
		if released {
			s.down(vm)
		}
	case released && vm.Purpose == PurposeMove:
		s.finishMove(vm)
	case released, s.mayFence(vm):
		s.startReboot(vm)
	}
}

// mayFence reports whether a reboot may stand in for the confirmations that
// are missing. A reachable entry VM is waited for: a reboot would cut its
// requests in flight.
func (s *stepper) mayFence(vm *VM) bool {
	f, ok := s.in.Fences[vm.ID]
	if !ok || f.Generation != vm.Generation || s.in.Now.Sub(f.Since) < s.in.FenceWait {
		return false
	}
	if !quorumReleased(*vm, s.in.Entries) {
		return false
	}
	return !slices.ContainsFunc(unconfirmed(*vm, s.in.Entries), func(e Entry) bool { return e.Reachable })
}

// startReboot writes the operation and a boot count that was read after all
// conditions held, so that an earlier reboot is not taken for this one.
func (s *stepper) startReboot(vm *VM) {
	boot, ok := s.in.Boots[vm.ID]
	switch {
	case !ok:
		s.actions = append(s.actions, Action{Kind: ActionReadBoot, VM: vm.ID})
	case boot.Gone:
		s.down(vm)
	default:
		vm.Phase = Rebooting
		vm.ExpectedBoot = boot.Count
		vm.BootCount = max(vm.BootCount, boot.Count)
		if vm.Operation == "" {
			vm.Operation = fmt.Sprintf("fence/%s/%d", vm.ID, vm.Generation)
		}
	}
}

func (s *stepper) progressRebooting(vm *VM) {
	boot, ok := s.in.Boots[vm.ID]
	switch {
	case !ok:
		s.actions = append(s.actions, Action{Kind: ActionReadBoot, VM: vm.ID})
	case boot.Gone:
		s.maintained(vm)
		s.down(vm)
	case boot.Count > vm.ExpectedBoot:
		vm.BootCount = max(vm.BootCount, boot.Count)
		s.rebooted(vm)
	}
}

func (s *stepper) rebooted(vm *VM) {
	if vm.Purpose == PurposeMove {
		s.finishMove(vm)
		return
	}
	s.maintained(vm)
	s.endTransition(vm)
	vm.Phase = Serving
	vm.Generation++
}

func (s *stepper) maintained(vm *VM) {
	for i := range s.d.Waves {
		w := &s.d.Waves[i]
		if w.Name == vm.Wave && !slices.Contains(w.Done, vm.ID) {
			w.Done = append(w.Done, vm.ID)
			slices.Sort(w.Done)
		}
	}
}

// finishMove changes the pool. A target that was withdrawn meanwhile is
// replaced by the home pool.
func (s *stepper) finishMove(vm *VM) {
	target := vm.TargetPool
	if s.configured() {
		if _, ok := s.pools[target]; !ok && vm.HomePool != "" {
			target, vm.Lent = vm.HomePool, false
		}
	}
	s.endTransition(vm)
	vm.Phase, vm.Pool = Serving, target
	vm.Generation++
	vm.MovedAtUnixMillis = s.in.Now.UnixMilli()
}

func (s *stepper) applyWaves() {
	for i := range s.d.Waves {
		for _, w := range s.in.Waves {
			if p := &s.d.Waves[i]; w.Name == p.Name {
				p.Paused, p.Reason, p.Finished = w.Paused, w.Reason, w.Finished
			}
		}
	}
}

// startConfigMoves follows changes of the configuration: VMs that it no longer
// names leave, and VMs whose home pool changed go there. A VM that is lent to
// another pool stays until the capacity plan returns it.
func (s *stepper) startConfigMoves() {
	if !s.configured() {
		return
	}
	for _, id := range s.order() {
		vm := s.vms[id]
		_, exists := s.pools[vm.Pool]
		stays := vm.Pool == vm.HomePool || (exists && vm.Lent && vm.HomePool != "")
		if vm.Phase != Serving || stays || !s.takeOut(vm.Pool) {
			continue
		}
		if vm.HomePool == "" {
			vm.Phase, vm.Purpose = Releasing, PurposeLeaving
			continue
		}
		s.release(vm, vm.HomePool)
	}
}

func (s *stepper) release(vm *VM, to string) {
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
		if s.usage[m.From].serving <= s.pools[m.From].MinimumVMs || !s.takeOut(m.From) {
			continue
		}
		s.release(vm, m.To)
		vm.Lent = m.To != vm.HomePool
	}
}

func (s *stepper) startMaintenance() {
	for _, m := range s.in.Starts {
		vm := s.vms[m.VM]
		if vm == nil || vm.Phase != Serving || !s.pending(m) || !s.takeOut(vm.Pool) {
			continue
		}
		vm.Phase, vm.Purpose, vm.Wave = Releasing, PurposeMaintenance, m.Wave
		vm.Operation = fmt.Sprintf("wave/%s/%s/%d", m.Wave, vm.ID, vm.Generation)
	}
}

func (s *stepper) pending(m Start) bool {
	return slices.ContainsFunc(s.d.Waves, func(w WaveProgress) bool {
		return w.Name == m.Wave && !w.Finished && !slices.Contains(w.Done, m.VM)
	})
}

// count takes stock of every pool once, so that a step stays linear in the
// number of VMs.
func (s *stepper) count() {
	s.usage = map[string]*usage{}
	for _, vm := range s.vms {
		u := s.usage[vm.Pool]
		if u == nil {
			u = &usage{}
			u.budget, u.limited = Budget(s.in.Config, vm.Pool)
			s.usage[vm.Pool] = u
		}
		switch {
		case vm.Phase == Serving:
			u.serving++
		case !vm.Removed(s.in.Now):
			u.out++
		}
	}
}

// takeOut counts one more VM of the pool as out of service if the budget
// allows it.
func (s *stepper) takeOut(pool string) bool {
	u := s.usage[pool]
	if u.limited && u.out >= u.budget {
		return false
	}
	u.serving--
	u.out++
	return true
}

// RemovedAfter is how long a VM that is gone counts as failed. After that the
// platform is taken to have removed it, so that a wave ends although the VM
// never returns.
const RemovedAfter = 10 * time.Minute

// Removed reports whether the VM has been gone for so long that it no longer
// counts as a member of its pool that is out of service.
func (vm VM) Removed(now time.Time) bool {
	return vm.Phase == Down && now.Sub(time.UnixMilli(vm.DownSinceUnixMillis)) >= RemovedAfter
}

// Budget returns the smallest availability budget of the services on a pool;
// limited is false when no service runs on it.
func Budget(c note.Config, pool string) (budget int, limited bool) {
	for _, service := range c.Services {
		if service.Pool == pool && (!limited || service.MaxUnavailable < budget) {
			budget, limited = service.MaxUnavailable, true
		}
	}
	return budget, limited
}

// collectActions derives reboots and drains from the document, so that they
// are repeated after a lost answer or a change of the holder.
func (s *stepper) collectActions() {
	for _, id := range s.order() {
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

// order returns the ids of the VMs in order. It is kept until a VM is added or
// removed.
func (s *stepper) order() []string {
	if s.ids == nil {
		s.ids = slices.Sorted(maps.Keys(s.vms))
	}
	return s.ids
}

// result assembles the document. The term changes only with another change, so
// that an idle holder writes nothing.
func (s *stepper) result(before Document) Document {
	s.d.VMs = make([]VM, 0, len(s.vms))
	for _, id := range s.order() {
		s.d.VMs = append(s.d.VMs, *s.vms[id])
	}
	if !s.d.Equal(before) {
		s.d.Term = s.in.Term
	}
	return s.d
}
