package control

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/membership"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/replica"
	"dotterelhead.example/dotterelhead/scheduler/maintenance"
)

// snapshot is the input of one round.
//
// Invariant: the registry was read from the store after the document was known
// to be in the store. An entry VM that is missing from the registry therefore
// registers after the document was written, and then reads this document or a
// later one. The confirmations, too, were collected before the read of the
// registry.
type snapshot struct {
	now              time.Time
	confirmations    map[membership.Member]map[string]int64
	contacts         map[membership.Member]time.Time
	heard            map[string]time.Time
	registryVersions map[membership.Member]int64
	demand           []*peer.PoolDemand
	document         fleet.Document
	version          int64
	// usesCopy is true when the document is the holder's copy and was not read
	// in this round.
	usesCopy        bool
	registry        membership.Registry
	registryVersion int64
	config          note.Config
	configVersion   int64
	list            []infrastructure.VM
	unhealthy       map[string]bool
}

func (h *holder) snapshot(ctx context.Context) (snapshot, error) {
	o := h.controller.options
	s := snapshot{
		now:              time.Now(),
		confirmations:    o.Members.Confirmations(),
		contacts:         o.Members.LastExchanges(),
		heard:            o.Members.LastHeard(),
		registryVersions: o.Members.RegistryVersions(),
		demand:           o.Members.MemberDemand(),
	}
	if o.Unhealthy != nil {
		s.unhealthy = o.Unhealthy()
	}
	if doc, ok := o.Replica.Get(note.ConfigKey); ok {
		config, err := note.DecodeConfig(doc.Value)
		if err != nil {
			return s, errors.Wrap(err, "decode configuration")
		}
		s.config, s.configVersion = config, doc.Version
	}
	s.usesCopy = h.mayUseCopy(s.now)
	if !s.usesCopy {
		if err := h.readDocument(ctx); err != nil {
			return s, errors.Wrap(err, "read fleet document")
		}
	}
	s.document, s.version = *h.document, h.documentVersion
	// The registry is read in every round, because an older copy could hold
	// quorum floors that a removal has lowered since. The read also shows that
	// the store can be reached, which new transitions require.
	value, version, err := h.read(ctx, membership.RegistryKey(o.Region))
	s.registryVersion = version
	if err != nil {
		return s, errors.Wrap(err, "read registry")
	}
	if s.registry, err = membership.DecodeRegistry(value); err != nil {
		return s, errors.Wrap(err, "decode registry")
	}
	listCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := o.Inventory.VMs(listCtx)
	if err != nil {
		// Transitions in progress continue without the list.
		o.Log.Warn().Str("event", "list_unavailable").Err(err).Msg("")
	}
	s.list = list
	return s, nil
}

// mayUseCopy reports whether this round may use the fleet document that this
// holder last read or wrote, without another read. If another holder has
// written the document since, the compare-and-swap fails, and only the round is
// lost.
func (h *holder) mayUseCopy(now time.Time) bool {
	known, _ := h.controller.options.Replica.Get(fleet.DocumentKey(h.controller.options.Region))
	age, ok := h.controller.options.Members.FleetDocumentAge(now)
	return h.document != nil && known.Version == h.documentVersion && ok && age < membership.PermitTTL
}

func (h *holder) readDocument(ctx context.Context) error {
	var d fleet.Document
	value, version, err := h.read(ctx, fleet.DocumentKey(h.controller.options.Region))
	if err == nil && version > 0 {
		d, err = fleet.Decode(value)
	}
	if err == nil {
		h.document, h.documentVersion = &d, version
	}
	return err
}

// read reads a document and applies it to the replica. It returns version 0 for
// a key that does not exist.
func (h *holder) read(ctx context.Context, key string) ([]byte, int64, error) {
	kv, err := h.controller.get(ctx, key)
	if errors.Is(err, infrastructure.ErrNotFound) {
		return nil, 0, nil
	}
	if err == nil {
		h.controller.options.Replica.Apply(replica.Document{Key: key, Version: kv.Version, Value: kv.Value})
	}
	return kv.Value, kv.Version, err
}

func (s snapshot) inputs(term int64) fleet.Inputs {
	in := fleet.Inputs{
		Now: s.now, Term: term, Config: s.config, VMList: s.list,
		Boots: map[string]fleet.BootReport{}, FenceWait: membership.PermitTTL + membership.FenceMargin,
	}
	for _, rec := range s.registry.Members {
		in.Entries = append(in.Entries, fleet.Entry{
			ID: rec.ID, QuorumFloor: rec.QuorumFloor,
			HeardRecently: s.heardRecently(rec.ID),
			Released:      s.confirmations[rec.Member()],
		})
	}
	return in
}

// heardRecently reports whether an entry VM was heard from within PermitTTL. An
// entry VM that still sends, even if calls to it fail, will finish its requests
// and confirm.
func (s snapshot) heardRecently(id string) bool {
	at, ok := s.heard[id]
	return ok && s.now.Sub(at) < membership.PermitTTL
}

// plan asks the planners for new transitions.
func (h *holder) plan(s snapshot, in *fleet.Inputs) {
	if h.controller.options.Capacity != nil {
		for _, m := range h.controller.options.Capacity.Plan(s.now, capacitySnapshot(s)) {
			in.Moves = append(in.Moves, fleet.Move{VM: m.VM, From: m.From, To: m.To})
		}
	}
	plan := maintenance.Next(maintenanceSnapshot(s))
	for _, m := range plan.Withdrawals {
		in.Starts = append(in.Starts, fleet.MaintenanceStart{VM: m.VM, Wave: m.Wave})
	}
	for _, w := range plan.Waves {
		in.Waves = append(in.Waves, fleet.WaveState{Name: w.Name, Paused: w.Paused, Reason: w.Reason, Finished: w.Finished})
	}
}

// MaintenancePools returns the pools of a configuration with their availability
// budgets, for maintenance.Next and maintenance.Conflicts.
func MaintenancePools(c note.Config) []maintenance.Pool {
	pools := make([]maintenance.Pool, 0, len(c.Pools))
	for _, p := range c.Pools {
		budget, limited := fleet.Budget(c, p.Name)
		if !limited {
			budget = maintenance.Unlimited
		}
		pools = append(pools, maintenance.Pool{Name: p.Name, MaxUnavailable: budget})
	}
	return pools
}

func maintenanceSnapshot(s snapshot) maintenance.Snapshot {
	out := maintenance.Snapshot{Pools: MaintenancePools(s.config)}
	for _, vm := range s.document.VMs {
		state := maintenance.PlannedOutage
		switch {
		case vm.Removed(s.now):
			state = maintenance.Removed
		case vm.Phase == fleet.Down, vm.Phase == fleet.Serving && s.unhealthy[vm.ID]:
			state = maintenance.Failed
		case vm.Phase == fleet.Serving:
			state = maintenance.Serving
		}
		out.VMs = append(out.VMs, maintenance.VM{
			ID: vm.ID, Pool: vm.Pool, HomePool: vm.HomePool,
			AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack, State: state, Wave: vm.Wave,
		})
	}
	for _, p := range s.document.Waves {
		for _, w := range s.config.Waves {
			if w.Name == p.Name && w.LastChangedRevision == p.Revision {
				out.Waves = append(out.Waves, maintenance.Wave{
					Name: w.Name, Pools: w.Pools, MaxConcurrent: w.MaxConcurrent, Done: p.Done, Finished: p.Finished,
				})
			}
		}
	}
	return out
}

// updateRegistry removes entry VMs that no longer exist on the platform, raises
// quorum floors and marks the entry VMs that the platform has listed.
func (h *holder) updateRegistry(ctx context.Context, s snapshot) error {
	next := s.registry
	goneSince := map[membership.Member]time.Time{}
	for _, rec := range s.registry.Members {
		if !h.isGone(ctx, rec, s) {
			continue
		}
		since, ok := h.goneSince[rec.Member()]
		if !ok {
			since = s.now
		}
		goneSince[rec.Member()] = since
		// The removal waits, because an unregistered entry VM may send for PermitTTL
		// after its last exchange with this member, which no longer withholds
		// confirmations on its behalf.
		if s.now.Sub(since) >= membership.PermitTTL+membership.FenceMargin {
			next = next.Remove(rec.Member())
		}
	}
	h.goneSince = goneSince
	next, raised := next.RaiseFloors(func(m membership.Member) bool {
		return s.registryVersions[m] >= s.registryVersion
	})
	next, marked := next.MarkListed(func(id string) bool {
		return slices.ContainsFunc(s.list, func(vm infrastructure.VM) bool { return vm.ID == id })
	})
	if !raised && !marked && next.Size() == s.registry.Size() {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value := next.Encode()
	version, err := h.controller.options.Store.Put(callCtx, membership.RegistryKey(h.controller.options.Region), value, s.registryVersion, "")
	if err != nil {
		// The next round reads the registry again.
		return errors.Wrap(err, "write registry")
	}
	h.controller.options.Replica.Apply(replica.Document{Key: membership.RegistryKey(h.controller.options.Region), Version: version, Value: value})
	h.controller.options.Members.Trigger()
	return nil
}

// isGone reports whether an entry VM no longer exists on the platform. The list
// may be out of date and lack a new VM, so the platform is asked about a VM that
// is absent from the list.
func (h *holder) isGone(ctx context.Context, rec membership.Record, s snapshot) bool {
	if !rec.Listed || len(s.list) == 0 || s.heardRecently(rec.ID) {
		return false
	}
	for _, vm := range s.list {
		if vm.ID == rec.ID {
			return false
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := h.controller.options.VMs.VM(callCtx, rec.ID)
	return errors.Is(err, infrastructure.ErrNotFound)
}
