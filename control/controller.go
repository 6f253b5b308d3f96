// Package control implements the control role of a region. The entry VM that
// holds the lease of the role, the holder, runs a round each second: it updates
// the fleet document by compare-and-swap and calls the platform to drain and
// reboot VMs.
package control

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/membership"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/replica"
)

const (
	leaseTTL      = 5 * time.Second
	roundInterval = time.Second
	// callTimeout limits each call to the platform, so that a call on an
	// unresponsive connection ends before the lease does.
	callTimeout = 2 * time.Second
	// contactWindow is the maximum age of the last exchange with a member that
	// counts as uninterrupted contact: there is one exchange a second, of which
	// one may be lost.
	contactWindow = 3 * time.Second
	// resignAfter is how long a holder keeps the role without a majority. It
	// is longer than a member needs to be in contact again after a lost
	// exchange.
	resignAfter = membership.PermitTTL + contactWindow
	// resignedPause is how long a holder that resigned leaves the role to
	// others. Then it contends again: if most entry VMs are gone, no other may
	// be left to remove them from the registry.
	resignedPause = 2 * leaseTTL
	// triggerDelay batches confirmations that arrive at about the same time
	// into one round of store calls.
	triggerDelay = 20 * time.Millisecond
)

// LeaseKey returns the store key of the control lease of a region.
func LeaseKey(region string) string { return "roles/control/" + region }

// Membership is the part of membership.Node that the controller uses.
type Membership interface {
	// Confirmations returns the highest released generation per member and VM.
	Confirmations() map[membership.Member]map[string]int64
	// LastExchanges returns the start of the last complete exchange per member.
	LastExchanges() map[membership.Member]time.Time
	// LastHeard returns when each member last called this entry VM or answered its
	// call.
	LastHeard() map[string]time.Time
	// RegistryVersions returns the version of the registry that each member held
	// when it was last heard from.
	RegistryVersions() map[membership.Member]int64
	// MemberDemand returns the demand of this entry VM and that reported by
	// the members heard from recently.
	MemberDemand() []*peer.PoolDemand
	// FleetDocumentAge returns the time since this entry VM was last up to date with
	// the fleet document; ok is false if it never was.
	FleetDocumentAge(now time.Time) (age time.Duration, ok bool)
	// Registered reports whether this process is in the registry; only a
	// registered process contends for the role.
	Registered() bool
	// Trigger starts an exchange with every member at once.
	Trigger()
}

// Options configures a Controller.
type Options struct {
	Store     infrastructure.Store
	Inventory infrastructure.Inventory
	VMs       infrastructure.VMOperations
	Replica   *replica.Replica
	Members   Membership
	Region    string
	// ID and Incarnation identify this process in the lease.
	ID          string
	Incarnation string
	// Capacity plans moves between pools; nil plans none.
	Capacity Capacity
	// Unhealthy returns the VMs that are in service but failing; it may be nil.
	Unhealthy func() map[string]bool
	// RepairHistory is called after the role is taken and after each change of
	// the configuration; it may be nil.
	RepairHistory func(ctx context.Context) error
	Log           *log.Logger
}

// Controller contends for the control role and performs it while it holds it.
//
// Invariant: it writes the fleet document only by compare-and-swap on the
// version that its step was computed from, and calls the platform only for
// transitions that are known to be in the store.
type Controller struct {
	options Options
	trigger chan struct{}

	mu     sync.Mutex
	status Status
}

// Status describes the state of the role for operators.
type Status struct {
	Holding bool  `json:"holding"`
	Term    int64 `json:"term"`
	// Steady is true when new transitions may start.
	Steady bool `json:"steady"`
	// LastError is the error of the last round, if it failed.
	LastError string `json:"last_error,omitempty"`
	// Waits describes what the transitions in progress wait for.
	Waits []fleet.PendingTransition `json:"waits,omitempty"`
}

// New returns a controller. Changes of replicated documents other than the fleet
// document trigger it.
func New(o Options) *Controller {
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	c := &Controller{options: o, trigger: make(chan struct{}, 1)}
	o.Replica.Subscribe(func(doc replica.Document) {
		if doc.Key != fleet.DocumentKey(o.Region) {
			c.Trigger()
		}
	})
	return c
}

// Trigger starts a round at once when this entry VM holds the role.
func (c *Controller) Trigger() {
	select {
	case c.trigger <- struct{}{}:
	default:
	}
}

// Status returns the state of the role on this entry VM.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

func (c *Controller) setStatus(fn func(*Status)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(&c.status)
}

// Run contends for the role and performs it until the context ends. It then
// revokes the lease.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.options.Members.Registered() {
			sleep(ctx, roundInterval/4)
			continue
		}
		lease, err := c.acquire(ctx)
		if err != nil {
			sleep(ctx, roundInterval)
			continue
		}
		if lease == "" {
			continue
		}
		resigned := c.holdRole(ctx, lease)
		c.revokeLease(lease)
		if resigned {
			// Another entry VM takes the role meanwhile, if one can.
			sleep(ctx, resignedPause)
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// acquire tries to take the role. It returns the lease, or "" to try again.
func (c *Controller) acquire(ctx context.Context) (string, error) {
	key := LeaseKey(c.options.Region)
	held, err := c.get(ctx, key)
	if err == nil {
		// The wait is short because the expiry of a lease does not
		// necessarily end a watch.
		watchCtx, cancel := context.WithTimeout(ctx, roundInterval+callTimeout)
		defer cancel()
		_, err = c.options.Store.Watch(watchCtx, key, held.Version, roundInterval)
		return "", err
	}
	if !errors.Is(err, infrastructure.ErrNotFound) {
		return "", err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := c.options.Store.GrantLease(callCtx, leaseTTL)
	if err != nil {
		return "", err
	}
	value := []byte(c.options.ID + " " + c.options.Incarnation + " " + lease)
	_, err = c.options.Store.Put(callCtx, key, value, 0, lease)
	if errors.Is(err, infrastructure.ErrOutcomeUnknown) {
		var kv infrastructure.KeyValue
		if kv, err = c.get(ctx, key); err == nil && !bytes.Equal(kv.Value, value) {
			err = infrastructure.ErrConflict
		}
	}
	if err != nil {
		c.revokeLease(lease)
		return "", err
	}
	return lease, nil
}

// revokeLease revokes the lease. It uses its own context, because that of the
// role may have ended.
func (c *Controller) revokeLease(lease string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.options.Store.RevokeLease(ctx, lease); err != nil && !errors.Is(err, infrastructure.ErrNotFound) {
		c.options.Log.Warn().Str("event", "lease_not_given_back").Err(err).Msg("")
	}
}

func (c *Controller) get(ctx context.Context, key string) (infrastructure.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.options.Store.Get(ctx, key)
}

// holdRole keeps the lease alive and runs rounds until the lease is lost. It
// reports whether it gave up the role because it is not in contact with a
// majority. It may then start no transitions, while its lease keeps the role
// from an entry VM that might.
func (c *Controller) holdRole(ctx context.Context, lease string) (resigned bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.options.Log.Info().Str("event", "control_taken").Str("id", c.options.ID).Msg("")
	c.setStatus(func(s *Status) { *s = Status{Holding: true} })
	defer func() {
		c.setStatus(func(s *Status) { *s = Status{} })
		c.options.Log.Info().Str("event", "control_ended").Str("id", c.options.ID).Msg("")
	}()
	var keeper sync.WaitGroup
	keeper.Go(func() {
		defer cancel()
		c.keepAlive(ctx, lease)
	})
	defer keeper.Wait()
	defer cancel()
	h := &holder{controller: c, succeeded: map[string]time.Time{}, lastMajorityAt: time.Now()}
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		err := h.round(ctx)
		if errors.Is(err, errDeposed) {
			c.options.Log.Warn().Str("event", "control_deposed").Int64("term", h.term).Msg("")
			return false
		}
		if err == nil && time.Since(h.lastMajorityAt) > resignAfter {
			c.options.Log.Warn().Str("event", "control_resigned").Int64("term", h.term).Msg("")
			return true
		}
		message := ""
		if err != nil && ctx.Err() == nil {
			message = err.Error()
			c.options.Log.Warn().Str("event", "control_round_failed").Err(err).Msg("")
		}
		c.setStatus(func(s *Status) {
			s.Term, s.Steady, s.LastError, s.Waits = h.term, h.steady(time.Now()), message, h.waits
		})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-c.trigger:
			sleep(ctx, triggerDelay)
		}
	}
	return false
}

// keepAlive renews the lease until it has expired or may have expired.
func (c *Controller) keepAlive(ctx context.Context, lease string) {
	lastRenewal := time.Now()
	for {
		sleep(ctx, roundInterval)
		if ctx.Err() != nil {
			return
		}
		start := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.options.Store.KeepAlive(callCtx, lease)
		cancel()
		if err == nil {
			lastRenewal = start
		}
		if errors.Is(err, infrastructure.ErrNotFound) || time.Since(lastRenewal) >= leaseTTL {
			return
		}
	}
}

// errDeposed reports that a holder with a higher term has written the fleet
// document.
var errDeposed = errors.New("a holder with a higher term has written the fleet document")

// errOutcomeUnknown reports that the answer to a write was lost and that a
// different document was read afterwards. The write may have taken effect and
// then been overwritten.
var errOutcomeUnknown = errors.New("outcome of the write unknown: its answer was lost and another document was read afterwards")

// holder is the state of the controller while it holds the role.
type holder struct {
	controller *Controller
	// term is 0 until the fleet document has been read.
	term   int64
	fences map[string]fleet.Fence
	// document is the fleet document at version documentVersion. This holder
	// has read it from the store or knows that it has written it. It is nil
	// when the role is taken and after every failed round.
	document        *fleet.Document
	documentVersion int64
	// steadySince is since when this holder has been in contact with both the
	// store and a majority of the members; zero while it is not.
	steadySince time.Time
	// lastMajorityAt is when this holder was last in contact with a majority of
	// the members.
	lastMajorityAt time.Time
	// succeeded holds the operations whose calls succeeded and when, so that they
	// are not repeated in every round.
	succeeded map[string]time.Time
	waits     []fleet.PendingTransition
	// goneSince holds the members that no longer exist on the platform, with
	// the time at which this was first seen.
	goneSince map[membership.Member]time.Time
	// repairedVersion is the version of the configuration at the last call of
	// RepairHistory.
	repairedVersion int64
}

// steady reports whether new transitions may start.
func (h *holder) steady(now time.Time) bool {
	return !h.steadySince.IsZero() && now.Sub(h.steadySince) >= membership.PermitTTL
}

// round takes a snapshot, computes and writes the next fleet document and
// performs its actions.
func (h *holder) round(ctx context.Context) error {
	err := h.tryRound(ctx)
	if err != nil {
		h.document = nil
	}
	// A conflict shows that the store can be reached, and so does the read
	// after a write whose answer was lost.
	if err != nil && !errors.Is(err, infrastructure.ErrConflict) && !errors.Is(err, errOutcomeUnknown) {
		h.steadySince = time.Time{}
	}
	return err
}

func (h *holder) tryRound(ctx context.Context) error {
	s, err := h.snapshot(ctx)
	if err != nil {
		return err
	}
	if h.term == 0 {
		h.term = s.document.Term + 1
	}
	if s.document.Term > h.term {
		return errDeposed
	}
	h.updateSteady(s)
	next, actions := h.step(ctx, s)
	switch {
	case !next.Equal(s.document):
		err = h.write(ctx, next, s.version)
	case s.usesCopy && h.hasPendingCalls(actions):
		err = h.confirmVersion(ctx, s.version)
	}
	if err != nil {
		return err
	}
	h.performActions(ctx, actions)
	if err := h.updateRegistry(ctx, s); err != nil {
		return err
	}
	return h.repairHistory(ctx, s)
}

// updateSteady restarts the wait before new transitions whenever this holder is
// not in contact with a majority of the members.
func (h *holder) updateSteady(s snapshot) {
	reached := 0
	for _, rec := range s.registry.Members {
		if at, ok := s.contacts[rec.Member()]; ok && s.now.Sub(at) < contactWindow {
			reached++
		}
	}
	if 2*reached <= s.registry.Size() {
		h.steadySince = time.Time{}
		return
	}
	h.lastMajorityAt = s.now
	if h.steadySince.IsZero() {
		h.steadySince = s.now
	}
}

// step plans new transitions and computes the next document. If that requires
// boot counts, it reads them and computes the document again.
func (h *holder) step(ctx context.Context, s snapshot) (fleet.Document, []fleet.Action) {
	in := s.inputs(h.term)
	h.fences = fleet.UpdateFences(h.fences, s.document, in.Entries, s.now)
	in.Fences = h.fences
	in.Steady = h.steady(s.now)
	if in.Steady {
		h.plan(s, &in)
	}
	h.waits = fleet.PendingTransitions(s.document, in)
	next, actions := fleet.Step(s.document, in)
	if h.readBoots(ctx, actions, in.Boots) {
		next, actions = fleet.Step(s.document, in)
	}
	return next, actions
}

// readBoots reads the boot counts that a step requests into boots and reports
// whether it got any. The calls run in parallel, so that an unresponsive
// platform delays a round by a single timeout.
func (h *holder) readBoots(ctx context.Context, actions []fleet.Action, boots map[string]fleet.BootReport) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, a := range actions {
		if a.Kind != fleet.ActionReadBootCount {
			continue
		}
		calls.Go(func() {
			vm, err := h.controller.options.VMs.VM(ctx, a.VM)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				boots[a.VM] = fleet.BootReport{Count: vm.BootCount}
			case errors.Is(err, infrastructure.ErrNotFound):
				boots[a.VM] = fleet.BootReport{Gone: true}
			}
		})
	}
	calls.Wait()
	return len(boots) > 0
}

// write writes the fleet document. It returns nil only if the document is known
// to be in the store.
func (h *holder) write(ctx context.Context, next fleet.Document, expected int64) error {
	key, value := fleet.DocumentKey(h.controller.options.Region), next.Encode()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	version, err := h.controller.options.Store.Put(callCtx, key, value, expected, "")
	cancel()
	if errors.Is(err, infrastructure.ErrOutcomeUnknown) {
		var kv infrastructure.KeyValue
		if kv, err = h.controller.get(ctx, key); err == nil && !bytes.Equal(kv.Value, value) {
			err = errOutcomeUnknown
		}
		version = kv.Version
	}
	if err != nil {
		return errors.Wrap(err, "write fleet document")
	}
	h.document, h.documentVersion = &next, version
	h.controller.options.Replica.Apply(replica.Document{Key: key, Version: version, Value: value})
	h.controller.options.Members.Trigger()
	return nil
}

// hasPendingCalls reports whether any of the actions is a drain or reboot that
// is still to be called.
func (h *holder) hasPendingCalls(actions []fleet.Action) bool {
	return slices.ContainsFunc(actions, func(a fleet.Action) bool {
		_, done := h.succeeded[a.Operation.ID]
		return !done && a.Kind != fleet.ActionReadBootCount
	})
}

// confirmVersion checks that the store still holds the document at the given
// version. It runs before calls to the platform in a round that neither read nor
// wrote the document, because only a read or a compare-and-swap shows that no
// other holder has written it since.
func (h *holder) confirmVersion(ctx context.Context, version int64) error {
	_, found, err := h.read(ctx, fleet.DocumentKey(h.controller.options.Region))
	if err == nil && found != version {
		err = infrastructure.ErrConflict
	}
	return errors.Wrap(err, "check version of fleet document")
}

// repeatAfter is how long after a successful call it is made again, if the step
// still asks for it because its effect has not been seen (see fleet.Step).
const repeatAfter = 10 * time.Second

// performActions calls the platform for the actions, in parallel. Failed calls
// are repeated in the next round.
func (h *holder) performActions(ctx context.Context, actions []fleet.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for id, at := range h.succeeded {
		if time.Since(at) >= repeatAfter {
			delete(h.succeeded, id)
		}
	}
	for _, a := range actions {
		mu.Lock()
		_, done := h.succeeded[a.Operation.ID]
		mu.Unlock()
		if done || a.Kind == fleet.ActionReadBootCount {
			continue
		}
		calls.Go(func() {
			if err := h.callPlatform(ctx, a); err != nil {
				h.controller.options.Log.Warn().Str("event", "operation_failed").Str("kind", string(a.Kind)).
					Str("vm", a.VM).Str("operation", a.Operation.ID).Err(err).Msg("")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			h.succeeded[a.Operation.ID] = time.Now()
		})
	}
	calls.Wait()
}

func (h *holder) callPlatform(ctx context.Context, a fleet.Action) error {
	if a.Kind == fleet.ActionReboot {
		return h.controller.options.VMs.Reboot(ctx, a.VM, a.Operation)
	}
	return h.controller.options.VMs.Drain(ctx, a.VM, a.Operation)
}

func (h *holder) repairHistory(ctx context.Context, s snapshot) error {
	if h.controller.options.RepairHistory == nil || s.configVersion == 0 || s.configVersion == h.repairedVersion {
		return nil
	}
	if err := h.controller.options.RepairHistory(ctx); err != nil {
		return errors.Wrap(err, "repair history")
	}
	h.repairedVersion = s.configVersion
	return nil
}
