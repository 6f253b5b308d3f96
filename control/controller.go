// Package control runs the control role of a region: one entry VM holds a
// lease, and carries the fleet document on by compare-and-swap.
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
	leaseTTL = 5 * time.Second
	interval = time.Second
	// callTimeout bounds each call to the platform, so that a silent
	// connection does not outlast the lease.
	callTimeout = 2 * time.Second
	// contactWindow is how recent the last exchange with a member must be to
	// count as uninterrupted contact: one exchange a second and one lost.
	contactWindow = 3 * time.Second
	// resignAfter is how long a holder stays without a majority: longer than a
	// member needs to come back into contact after one lost exchange.
	resignAfter = membership.T + contactWindow
	// resignedPause is how long a holder that resigned leaves the role to
	// others. It then contends again, because with most entry VMs gone nobody
	// else may be left to remove them from the registry.
	resignedPause = 2 * leaseTTL
	// triggerDelay collects confirmations that arrive together, so that they
	// cost one round of store calls.
	triggerDelay = 20 * time.Millisecond
)

// LeaseKey returns the store key of the control lease of a region.
func LeaseKey(region string) string { return "roles/control/" + region }

// Members is what the controller learns from package membership.
type Members interface {
	// Confirmations returns the highest released generation per member and VM.
	Confirmations() map[membership.Member]map[string]int64
	// Contacts returns the start of the last complete exchange per member.
	Contacts() map[membership.Member]time.Time
	// Heard returns when each member was last heard from, in either direction.
	Heard() map[string]time.Time
	// RegistryVersions returns the version of the registry that each member holds.
	RegistryVersions() map[membership.Member]int64
	DemandOfMembers() []*peer.PoolDemand
	// StoreAge returns the age of the replica's knowledge of the fleet document.
	StoreAge(now time.Time) (age time.Duration, ok bool)
	// Registered reports whether this process is in the registry; only a
	// registered one contends for the role.
	Registered() bool
	Trigger()
}

// Options configure a Controller.
type Options struct {
	Store     infrastructure.Store
	Inventory infrastructure.Inventory
	Machines  infrastructure.Machines
	Replica   *replica.Replica
	Members   Members
	Region    string
	// ID and Incarnation identify this process in the lease.
	ID          string
	Incarnation string
	// Capacity plans moves; nil plans none.
	Capacity Capacity
	// Unhealthy lists VMs that are in service but fail; it may be nil.
	Unhealthy func() map[string]bool
	// RepairHistory is called after the role was taken and after each change
	// of the configuration; it may be nil.
	RepairHistory func(ctx context.Context) error
	Log           *log.Logger
}

// Controller contends for the control role and carries it out.
//
// Invariant: it writes the fleet document only by compare-and-swap on the
// version that its step was computed from, and calls the platform only for
// transitions that it has read back or written for certain.
type Controller struct {
	o       Options
	trigger chan struct{}

	mu     sync.Mutex
	status Status
}

// Status describes the role for operators.
type Status struct {
	Holding bool  `json:"holding"`
	Term    int64 `json:"term"`
	// Steady is true when new transitions may start.
	Steady bool `json:"steady"`
	// LastError is the error of the last round.
	LastError string `json:"last_error,omitempty"`
	// Waits explains the transitions under way.
	Waits []fleet.Wait `json:"waits,omitempty"`
}

// New returns a controller.
func New(o Options) *Controller {
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	c := &Controller{o: o, trigger: make(chan struct{}, 1)}
	o.Replica.Subscribe(func(doc replica.Document) {
		if doc.Key != fleet.Key(o.Region) {
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

// Run contends for the role until the context ends and then gives it back.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.o.Members.Registered() {
			sleep(ctx, interval/4)
			continue
		}
		lease, err := c.acquire(ctx)
		if err != nil {
			sleep(ctx, interval)
			continue
		}
		if lease == "" {
			continue
		}
		resigned := c.hold(ctx, lease)
		c.giveBack(lease)
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

// acquire returns the lease once the role is taken, or "" to try again.
func (c *Controller) acquire(ctx context.Context) (string, error) {
	key := LeaseKey(c.o.Region)
	held, err := c.get(ctx, key)
	if err == nil {
		// The wait is short because a lapsed lease need not end a watch.
		watchCtx, cancel := context.WithTimeout(ctx, interval+callTimeout)
		defer cancel()
		_, err = c.o.Store.Watch(watchCtx, key, held.Version, interval)
		return "", err
	}
	if !errors.Is(err, infrastructure.ErrNotFound) {
		return "", err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := c.o.Store.GrantLease(callCtx, leaseTTL)
	if err != nil {
		return "", err
	}
	value := []byte(c.o.ID + " " + c.o.Incarnation + " " + lease)
	_, err = c.o.Store.Put(callCtx, key, value, 0, lease)
	if errors.Is(err, infrastructure.ErrUnknown) {
		var kv infrastructure.KeyValue
		if kv, err = c.get(ctx, key); err == nil && !bytes.Equal(kv.Value, value) {
			err = infrastructure.ErrConflict
		}
	}
	if err != nil {
		c.giveBack(lease)
		return "", err
	}
	return lease, nil
}

// giveBack runs after the context of the role has ended.
func (c *Controller) giveBack(lease string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.o.Store.RevokeLease(ctx, lease); err != nil && !errors.Is(err, infrastructure.ErrNotFound) {
		c.o.Log.Warn().Str("event", "lease_not_given_back").Err(err).Msg("")
	}
}

func (c *Controller) get(ctx context.Context, key string) (infrastructure.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.o.Store.Get(ctx, key)
}

// hold keeps the lease alive and runs rounds until the lease is lost. It
// reports whether the role was given up because the holder is out of contact
// with a majority: it may start no transition then, while its lease keeps the
// role from an entry VM that could.
func (c *Controller) hold(ctx context.Context, lease string) (resigned bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.o.Log.Info().Str("event", "control_taken").Str("id", c.o.ID).Msg("")
	c.setStatus(func(s *Status) { *s = Status{Holding: true} })
	defer func() {
		c.setStatus(func(s *Status) { *s = Status{} })
		c.o.Log.Info().Str("event", "control_ended").Str("id", c.o.ID).Msg("")
	}()
	var keeper sync.WaitGroup
	keeper.Go(func() {
		defer cancel()
		c.keepAlive(ctx, lease)
	})
	defer keeper.Wait()
	defer cancel()
	h := &holder{c: c, done: map[string]time.Time{}, majorityAt: time.Now()}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		err := h.round(ctx)
		if errors.Is(err, errDeposed) {
			c.o.Log.Warn().Str("event", "control_deposed").Int64("term", h.term).Msg("")
			return false
		}
		if err == nil && time.Since(h.majorityAt) > resignAfter {
			c.o.Log.Warn().Str("event", "control_resigned").Int64("term", h.term).Msg("")
			return true
		}
		message := ""
		if err != nil && ctx.Err() == nil {
			message = err.Error()
			c.o.Log.Warn().Str("event", "control_round_failed").Err(err).Msg("")
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

// keepAlive returns when the lease has lapsed or may have.
func (c *Controller) keepAlive(ctx context.Context, lease string) {
	last := time.Now()
	for {
		sleep(ctx, interval)
		if ctx.Err() != nil {
			return
		}
		start := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.o.Store.KeepAlive(callCtx, lease)
		cancel()
		if err == nil {
			last = start
		}
		if errors.Is(err, infrastructure.ErrNotFound) || time.Since(last) >= leaseTTL {
			return
		}
	}
}

// errDeposed reports that a later holder has written the fleet document.
var errDeposed = errors.New("a later holder has written the fleet document")

// errLost reports that the answer to a write was lost and that the document
// read afterwards is another one. The write may have taken effect before.
var errLost = errors.New("answer lost, outcome of the write not known")

// holder is the state of one tenure of the role.
type holder struct {
	c *Controller
	// term is 0 until the document was read.
	term   int64
	fences map[string]fleet.Fence
	// held is the fleet document in version heldVersion, which this holder has
	// read from the store or is certain to have written. It is nil after the
	// role was taken and after every round that failed.
	held        *fleet.Document
	heldVersion int64
	// steadySince is zero while the store or a majority is out of contact.
	steadySince time.Time
	// majorityAt is when a majority was last in contact.
	majorityAt time.Time
	// done holds the operations whose call was answered, to spare repeats.
	done  map[string]time.Time
	waits []fleet.Wait
	// goneSince holds the members that the platform no longer knows.
	goneSince map[membership.Member]time.Time
	// repaired is the version of the configuration at the last repair.
	repaired int64
}

func (h *holder) steady(now time.Time) bool {
	return !h.steadySince.IsZero() && now.Sub(h.steadySince) >= membership.T
}

// round takes one snapshot, steps the document and carries out its actions.
func (h *holder) round(ctx context.Context) error {
	err := h.attempt(ctx)
	if err != nil {
		h.held = nil
	}
	// A conflict is an answer of the store, and so is the read after a write
	// whose answer was lost.
	if err != nil && !errors.Is(err, infrastructure.ErrConflict) && !errors.Is(err, errLost) {
		h.steadySince = time.Time{}
	}
	return err
}

func (h *holder) attempt(ctx context.Context) error {
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
	case s.copied && h.due(actions):
		err = h.confirmVersion(ctx, s.version)
	}
	if err != nil {
		return err
	}
	h.carryOut(ctx, actions)
	if err := h.tidyRegistry(ctx, s); err != nil {
		return err
	}
	return h.repair(ctx, s)
}

// updateSteady restarts the wait whenever contact with a majority is lost.
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
	h.majorityAt = s.now
	if h.steadySince.IsZero() {
		h.steadySince = s.now
	}
}

// step plans and steps, and repeats the step with the boot counts it asks for.
func (h *holder) step(ctx context.Context, s snapshot) (fleet.Document, []fleet.Action) {
	in := s.inputs(h.term)
	h.fences = fleet.Observe(h.fences, s.document, in.Entries, s.now)
	in.Fences = h.fences
	in.Steady = h.steady(s.now)
	if in.Steady {
		h.plan(s, &in)
	}
	h.waits = fleet.Waits(s.document, in)
	next, actions := fleet.Step(s.document, in)
	if h.readBoots(ctx, actions, in.Boots) {
		next, actions = fleet.Step(s.document, in)
	}
	return next, actions
}

// readBoots answers the boot counts that a step asks for. The calls run side
// by side, so that a silent platform delays a round by one timeout.
func (h *holder) readBoots(ctx context.Context, actions []fleet.Action, boots map[string]fleet.Boot) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, a := range actions {
		if a.Kind != fleet.ActionReadBoot {
			continue
		}
		calls.Go(func() {
			vm, err := h.c.o.Machines.VM(ctx, a.VM)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				boots[a.VM] = fleet.Boot{Count: vm.BootCount}
			case errors.Is(err, infrastructure.ErrNotFound):
				boots[a.VM] = fleet.Boot{Gone: true}
			}
		})
	}
	calls.Wait()
	return len(boots) > 0
}

// write returns nil only when the document is known to be in the store.
func (h *holder) write(ctx context.Context, next fleet.Document, expected int64) error {
	key, value := fleet.Key(h.c.o.Region), next.Encode()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	version, err := h.c.o.Store.Put(callCtx, key, value, expected, "")
	cancel()
	if errors.Is(err, infrastructure.ErrUnknown) {
		var kv infrastructure.KeyValue
		if kv, err = h.c.get(ctx, key); err == nil && !bytes.Equal(kv.Value, value) {
			err = errLost
		}
		version = kv.Version
	}
	if err != nil {
		return errors.Wrap(err, "write fleet document")
	}
	h.held, h.heldVersion = &next, version
	h.c.o.Replica.Apply(replica.Document{Key: key, Version: version, Value: value})
	h.c.o.Members.Trigger()
	return nil
}

// due reports whether an action calls the platform.
func (h *holder) due(actions []fleet.Action) bool {
	return slices.ContainsFunc(actions, func(a fleet.Action) bool {
		_, done := h.done[a.Operation.ID]
		return !done && a.Kind != fleet.ActionReadBoot
	})
}

// confirmVersion reads the document before a call to the platform that no write
// of this round precedes: only a compare-and-swap or a read shows that the copy
// is still the document in the store.
func (h *holder) confirmVersion(ctx context.Context, version int64) error {
	_, found, err := h.read(ctx, fleet.Key(h.c.o.Region))
	if err == nil && found != version {
		err = infrastructure.ErrConflict
	}
	return errors.Wrap(err, "read fleet document")
}

// repeatAfter is how long a call that was answered is not repeated.
const repeatAfter = 10 * time.Second

func (h *holder) carryOut(ctx context.Context, actions []fleet.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for id, at := range h.done {
		if time.Since(at) >= repeatAfter {
			delete(h.done, id)
		}
	}
	for _, a := range actions {
		mu.Lock()
		_, done := h.done[a.Operation.ID]
		mu.Unlock()
		if done || a.Kind == fleet.ActionReadBoot {
			continue
		}
		calls.Go(func() {
			if err := h.call(ctx, a); err != nil {
				h.c.o.Log.Warn().Str("event", "operation_failed").Str("kind", string(a.Kind)).
					Str("vm", a.VM).Str("operation", a.Operation.ID).Err(err).Msg("")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			h.done[a.Operation.ID] = time.Now()
		})
	}
	calls.Wait()
}

func (h *holder) call(ctx context.Context, a fleet.Action) error {
	if a.Kind == fleet.ActionReboot {
		return h.c.o.Machines.Reboot(ctx, a.VM, a.Operation)
	}
	return h.c.o.Machines.Drain(ctx, a.VM, a.Operation)
}

func (h *holder) repair(ctx context.Context, s snapshot) error {
	if h.c.o.RepairHistory == nil || s.configVersion == 0 || s.configVersion == h.repaired {
		return nil
	}
	if err := h.c.o.RepairHistory(ctx); err != nil {
		return errors.Wrap(err, "repair history")
	}
	h.repaired = s.configVersion
	return nil
}
