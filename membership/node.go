package membership

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/rendezvous"
	"dotterelhead.example/dotterelhead/replica"
)

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 2 * time.Second
	// liveFor is how long a member counts as live after it was heard from.
	liveFor = 3 * time.Second
	// watchWait is well below T, because the knowledge of a waiting watch is
	// as old as the start of the call.
	watchWait = 2 * time.Second
	// staleAfter is the age of knowledge at which a member that does not
	// watch reads the store itself instead of waiting for the watchers.
	staleAfter   = 3500 * time.Millisecond
	watchers     = 2
	storeTimeout = 2 * time.Second
	storeRetry   = 500 * time.Millisecond
	// pushDelay gives the writer of a document the time to push it to the
	// watchers, and the first watcher the time to push it to the second. It
	// covers a few round trips between availability zones of 1.5 ms.
	pushDelay = 50 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Store            infrastructure.Store
	Inventory        infrastructure.Inventory
	Replica          *replica.Replica
	Region           string
	ID               string
	Incarnation      string
	PeerAddress      string
	AvailabilityZone string
	// Seeds are peer addresses to learn documents from before the registry
	// is known.
	Seeds []string
	Dial  func(address string) peer.Peer
	// Released lists the transitions that this entry VM has released. A
	// transition once listed must stay true for the life of the process.
	Released func() []*peer.ReleasedVM
	Demand   func() []*peer.PoolDemand
	// Confirmed is called when another member has confirmed a release. It
	// must not block and must not call the node; it may be nil.
	Confirmed func()
	Log       *log.Logger
}

// contact is what is known of another member.
type contact struct {
	incarnation string
	heard       time.Time
	// answered is when the member last answered a call. Calls to a member that
	// can only be heard would hang.
	answered  time.Time
	exchanged time.Time
	leaving   bool
	digest    map[string]int64
	demand    []*peer.PoolDemand
}

// debt is owed to an entry VM that exchanged with this one while it was not
// registered: the control holder does not ask it, so this member withholds its
// own confirmations until the unregistered one has released too.
type debt struct {
	last     time.Time
	released map[string]int64
}

// Node takes part in the membership of a region.
type Node struct {
	o       Options
	self    Member
	trigger chan struct{}
	kick    chan struct{}

	mu         sync.Mutex
	permit     *Permit
	registry   Registry
	version    int64
	registered int64
	superseded bool
	// withholdUntil is T after the registration: a former process under the
	// same id may have owed debts that are not known here. That covers the
	// permits that rested on it, not bytes that an unregistered entry VM,
	// frozen between check and write, sends after every member it relied on
	// was replaced.
	withholdUntil time.Time
	leaving       bool
	contacts      map[string]*contact
	// received and fromStore hold the versions that came from peers and from
	// the store, and origin those that are pushed: what was written here at
	// once, and what was read unless a peer sends it within a delay. Pushing
	// what peers have sent would multiply each change by the square of the
	// number of members.
	received      map[string]int64
	fromStore     map[string]int64
	origin        map[string]int64
	confirmations map[Member]map[string]int64
	debts         map[Member]*debt
	// discovered are peer addresses from the platform's list.
	discovered []string
	clients    map[string]peer.Peer
	busy       map[string]bool
	again      map[string]bool
	exchanges  sync.WaitGroup
}

// NewNode returns a node that is not registered yet.
func NewNode(o Options) *Node {
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	n := &Node{
		o:             o,
		self:          Member{ID: o.ID, Incarnation: o.Incarnation},
		trigger:       make(chan struct{}, 1),
		kick:          make(chan struct{}, 1),
		permit:        NewPermit(o.ID),
		contacts:      map[string]*contact{},
		fromStore:     map[string]int64{},
		received:      map[string]int64{},
		origin:        map[string]int64{},
		confirmations: map[Member]map[string]int64{},
		debts:         map[Member]*debt{},
		clients:       map[string]peer.Peer{},
		busy:          map[string]bool{},
		again:         map[string]bool{},
	}
	o.Replica.Subscribe(n.onDocument)
	return n
}

// Keys are the store keys that every entry VM of the region replicates.
func (n *Node) Keys() []string {
	return []string{note.ConfigKey, fleet.Key(n.o.Region), Key(n.o.Region)}
}

// Trigger starts an exchange with every member at once.
func (n *Node) Trigger() { wake(n.trigger) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// onDocument runs under the lock of the replica.
func (n *Node) onDocument(doc replica.Document) {
	n.mu.Lock()
	origin := n.received[doc.Key] != doc.Version && n.fromStore[doc.Key] != doc.Version
	if origin {
		n.origin[doc.Key] = doc.Version
	}
	n.mu.Unlock()
	if origin {
		n.Trigger()
	}
	if doc.Key != Key(n.o.Region) {
		return
	}
	registry, err := DecodeRegistry(doc.Value)
	if err != nil {
		n.o.Log.Error().Str("event", "registry_unreadable").Int64("version", doc.Version).Err(err).Msg("")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registry, n.version = registry, doc.Version
	n.permit.SetRegistry(registry)
	n.forget()
	if n.registered == 0 || doc.Version <= n.registered || registry.Contains(n.self) {
		return
	}
	n.registered = 0
	n.permit.Unregister()
	if _, other := registry.Find(n.self.ID); other {
		// A newer process runs under the same id and address.
		n.superseded = true
		n.permit.Close()
		n.o.Log.Error().Str("event", "registration_superseded").Str("id", n.self.ID).Msg("")
		return
	}
	wake(n.kick)
}

// forget drops what is kept about processes that are not registered.
func (n *Node) forget() {
	for m := range n.confirmations {
		if !n.registry.Contains(m) {
			delete(n.confirmations, m)
		}
	}
	for m := range n.debts {
		// The holder asks a registered entry VM itself.
		if n.registry.Contains(m) {
			delete(n.debts, m)
		}
	}
	for id := range n.contacts {
		if _, ok := n.registry.Find(id); !ok {
			delete(n.contacts, id)
		}
	}
}

// Run takes part in the membership until the context ends. It leaves the
// registration in place; Leave removes it.
func (n *Node) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { n.registerLoop(ctx) })
	loops.Go(func() { n.settleDebtsLoop(ctx) })
	for _, key := range n.Keys() {
		loops.Go(func() { n.readLoop(ctx, key) })
	}
	n.exchangeLoop(ctx)
	loops.Wait()
	n.exchanges.Wait()
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

// registerLoop keeps this process registered.
func (n *Node) registerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		wanted := n.registered == 0 && !n.superseded && !n.leaving
		n.mu.Unlock()
		if !wanted {
			select {
			case <-ctx.Done():
			case <-n.kick:
			}
			continue
		}
		if err := n.register(ctx); err != nil && !errors.Is(err, infrastructure.ErrConflict) {
			n.o.Log.Warn().Str("event", "register_failed").Err(err).Msg("")
			n.discover(ctx)
			sleep(ctx, storeRetry)
		}
	}
}

// discover looks for peers in the platform's list while no registry is known.
func (n *Node) discover(ctx context.Context) {
	n.mu.Lock()
	unknown := n.version == 0
	n.mu.Unlock()
	if !unknown || n.o.Inventory == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	vms, err := n.o.Inventory.VMs(ctx)
	if err != nil {
		n.o.Log.Warn().Str("event", "discovery_failed").Err(err).Msg("")
		return
	}
	found := peerAddresses(vms, n.o.ID, n.o.PeerAddress)
	n.mu.Lock()
	n.discovered = found
	n.mu.Unlock()
	if len(found) > 0 {
		n.Trigger()
	}
}

// peerAddresses returns where the other listed entry VMs serve peers if they
// use the port of the own address. The list gives an address with or without
// a port, and not that of the peer listener.
func peerAddresses(vms []infrastructure.VM, self, own string) []string {
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil
	}
	var out []string
	for _, vm := range vms {
		if !vm.EntryVM || vm.ID == self || vm.Address == "" {
			continue
		}
		host, _, err := net.SplitHostPort(vm.Address)
		if err != nil {
			host = strings.Trim(vm.Address, "[]")
		}
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

// register adds the own record. After a lost answer the next call reads the
// registry and finds the record if the write took effect.
func (n *Node) register(ctx context.Context) error {
	registry, doc, err := n.readRegistry(ctx)
	if err != nil {
		return err
	}
	if !registry.Contains(n.self) {
		registry = registry.Add(Record{
			ID: n.o.ID, Incarnation: n.o.Incarnation,
			PeerAddress: n.o.PeerAddress, AvailabilityZone: n.o.AvailabilityZone,
		})
		if doc, err = n.writeRegistry(ctx, registry, doc.Version); err != nil {
			return err
		}
	}
	n.setRegistered(doc, time.Now())
	n.o.Log.Info().Str("event", "registered").Str("id", n.self.ID).Int64("version", doc.Version).Msg("")
	n.Trigger()
	return nil
}

// setRegistered records a registration that is known to be in the store. The
// quorum floor of the record presumes that this process holds the registry
// that it is part of before it counts itself.
func (n *Node) setRegistered(doc replica.Document, now time.Time) {
	n.o.Replica.Apply(doc)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registered = doc.Version
	n.permit.Register(now)
	n.withholdUntil = now.Add(T)
}

func (n *Node) readRegistry(ctx context.Context) (Registry, replica.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := Key(n.o.Region)
	kv, err := n.o.Store.Get(ctx, key)
	if errors.Is(err, infrastructure.ErrNotFound) {
		return Registry{}, replica.Document{Key: key}, nil
	}
	if err != nil {
		return Registry{}, replica.Document{}, err
	}
	registry, err := DecodeRegistry(kv.Value)
	return registry, replica.Document{Key: key, Version: kv.Version, Value: kv.Value}, err
}

func (n *Node) writeRegistry(ctx context.Context, r Registry, expected int64) (replica.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key, value := Key(n.o.Region), r.Encode()
	version, err := n.o.Store.Put(ctx, key, value, expected, "")
	return replica.Document{Key: key, Version: version, Value: value}, err
}

// SetLeaving takes this entry VM out of Live everywhere.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.Trigger()
}

// Leave closes the permit and removes the own record. The caller has finished
// all requests in flight and has closed its connections to backend servers.
func (n *Node) Leave(ctx context.Context) error {
	n.mu.Lock()
	n.leaving = true
	n.permit.Close()
	var owed time.Time
	for _, d := range n.debts {
		if d.last.After(owed) {
			owed = d.last
		}
	}
	n.mu.Unlock()
	// The debts end with the process: what rested on it has to lapse first.
	sleep(ctx, time.Until(owed.Add(T)))
	for {
		registry, doc, err := n.readRegistry(ctx)
		if err == nil && !registry.Contains(n.self) {
			return nil
		}
		if err == nil {
			doc, err = n.writeRegistry(ctx, registry.Remove(n.self), doc.Version)
		}
		if err == nil {
			n.o.Replica.Apply(doc)
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "leave registry")
		}
		if !errors.Is(err, infrastructure.ErrConflict) {
			sleep(ctx, storeRetry)
		}
	}
}

// readLoop keeps one document current: by a waiting watch on the watchers and
// by reading when the knowledge from peers becomes too old.
func (n *Node) readLoop(ctx context.Context, key string) {
	first := true
	for ctx.Err() == nil {
		registered, watching, stale := n.readPlan(time.Now())
		var err error
		switch {
		case !registered:
			// Registration precedes the first read of the fleet document.
			first = true
			sleep(ctx, 50*time.Millisecond)
		case first:
			if err = n.read(ctx, key); err == nil {
				first = false
			}
		case stale && !watching:
			// The pause bounds the reads of this key while the knowledge of
			// the fleet document, read by another loop, stays old.
			if err = n.read(ctx, key); err == nil {
				sleep(ctx, storeRetry)
			}
		case watching:
			err = n.watch(ctx, key)
		default:
			sleep(ctx, 200*time.Millisecond)
		}
		if err != nil {
			// A read restores the position after a failed watch.
			first = true
			sleep(ctx, storeRetry)
		}
	}
}

func (n *Node) readPlan(now time.Time) (registered, watching, stale bool) {
	order := rendezvous.Order("watch", n.Live())
	n.mu.Lock()
	defer n.mu.Unlock()
	age, ok := n.permit.StoreAge(now)
	return n.permit.Registered(), slices.Contains(order[:min(watchers, len(order))], n.self.ID), !ok || age > staleAfter
}

func (n *Node) read(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	kv, err := n.o.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, infrastructure.ErrNotFound) {
		return err
	}
	if err == nil {
		n.applyRead(kv)
	}
	n.storeContact(key, start)
	return nil
}

// applyRead takes in a document from the store and pushes it when no peer has
// sent it within the delay. The first watcher waits the least.
func (n *Node) applyRead(kv infrastructure.KeyValue) {
	rank := min(watchers, slices.Index(rendezvous.Order("watch", n.Live()), n.self.ID))
	if rank < 0 {
		rank = watchers
	}
	n.mu.Lock()
	known := n.fromStore[kv.Key] >= kv.Version
	n.fromStore[kv.Key] = max(n.fromStore[kv.Key], kv.Version)
	n.mu.Unlock()
	n.o.Replica.Apply(replica.Document{Key: kv.Key, Version: kv.Version, Value: kv.Value})
	if known {
		return
	}
	time.AfterFunc(pushDelay*time.Duration(1+2*rank), func() {
		n.mu.Lock()
		push := n.received[kv.Key] < kv.Version && n.origin[kv.Key] < kv.Version
		if push {
			n.origin[kv.Key] = kv.Version
		}
		n.mu.Unlock()
		if push {
			n.Trigger()
		}
	})
}

func (n *Node) watch(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
	defer cancel()
	held, _ := n.o.Replica.Get(key)
	start := time.Now()
	result, err := n.o.Store.Watch(ctx, key, held.Version, watchWait)
	if err != nil {
		return err
	}
	for _, kv := range result.Changed {
		// The prefix also matches longer keys.
		if kv.Key == key {
			n.applyRead(kv)
		}
	}
	n.storeContact(key, start)
	return nil
}

func (n *Node) storeContact(key string, start time.Time) {
	if key != fleet.Key(n.o.Region) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.permit.StoreContact(start)
}

// exchangeLoop exchanges with every member each second and when triggered.
func (n *Node) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		for _, address := range n.targets() {
			n.start(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.trigger:
		}
	}
}

// targets are the other registered members and, while none is known, the seeds.
func (n *Node) targets() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, rec := range n.registry.Members {
		if rec.ID != n.self.ID {
			out = append(out, rec.PeerAddress)
		}
	}
	if len(out) == 0 {
		for _, address := range slices.Concat(n.o.Seeds, n.discovered) {
			if address != n.o.PeerAddress && !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	return out
}

// start runs one exchange with an address unless one is running; then that one
// is followed by another.
func (n *Node) start(ctx context.Context, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy[address] {
		n.again[address] = true
		return
	}
	n.busy[address] = true
	n.exchanges.Go(func() {
		for {
			more := n.exchange(ctx, address)
			n.mu.Lock()
			more = (more || n.again[address]) && ctx.Err() == nil
			delete(n.again, address)
			if !more {
				delete(n.busy, address)
				n.mu.Unlock()
				return
			}
			n.mu.Unlock()
		}
	})
}

func (n *Node) client(address string) peer.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.clients[address]
	if !ok {
		c = n.o.Dial(address)
		n.clients[address] = c
	}
	return c
}

// exchange makes one call and reports whether the other side lacks documents.
func (n *Node) exchange(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	start := time.Now()
	response, err := n.client(address).Exchange(ctx, n.request(start, address))
	if err != nil {
		return false
	}
	return n.accept(start, time.Now(), response) && n.lacks(toDigest(response.Digest))
}

// accept takes in the response to a call that was started at start and reports
// whether it came from a registered member, whose versions are now known.
func (n *Node) accept(start, now time.Time, response *peer.ExchangeResponse) bool {
	n.apply(response.Documents)
	digest := toDigest(response.Digest)
	complete := n.covers(digest)
	n.mu.Lock()
	defer n.mu.Unlock()
	rec, ok := n.registry.Find(response.Responder)
	if !ok {
		return false
	}
	c := n.contact(rec.ID)
	c.heard, c.answered, c.digest, c.demand, c.leaving = now, now, digest, response.Demand, response.Leaving
	if response.Incarnation == "" || response.Incarnation != rec.Incarnation {
		// The responder is not admitted, or another process than the one
		// that this registry names.
		return true
	}
	c.incarnation = response.Incarnation
	n.confirm(rec.Member(), response.Released)
	if !complete {
		return true
	}
	c.exchanged = start
	n.permit.PeerContact(rec.ID, start)
	if response.StoreAgeMillis >= 0 {
		n.permit.StoreContact(start.Add(-time.Duration(response.StoreAgeMillis) * time.Millisecond))
	}
	return true
}

func (n *Node) request(now time.Time, address string) *peer.ExchangeRequest {
	n.mu.Lock()
	var known map[string]int64
	for _, rec := range n.registry.Members {
		if c := n.contacts[rec.ID]; rec.PeerAddress == address && c != nil {
			known = c.digest
		}
	}
	q := &peer.ExchangeRequest{
		Sender: n.self.ID, Incarnation: n.self.Incarnation, Registered: n.registered != 0,
		StoreAgeMillis: n.storeAgeMillis(now), Leaving: n.leaving,
	}
	n.mu.Unlock()
	held := n.o.Replica.Digest()
	// The key names the region of the sender even before it holds a document.
	held[Key(n.o.Region)] = max(held[Key(n.o.Region)], 0)
	q.Digest = fromDigest(held)
	if known != nil {
		q.Documents = fromDocuments(n.pushed(known))
	}
	q.Released = n.confirmable(now)
	q.Demand = n.demand()
	return q
}

func (n *Node) storeAgeMillis(now time.Time) int64 {
	age, ok := n.permit.StoreAge(now)
	if !ok {
		return -1
	}
	// Rounded up, so that the receiver never takes it for younger.
	return age.Milliseconds() + 1
}

// Exchange serves the call of another entry VM.
func (n *Node) Exchange(_ context.Context, q *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	return n.serve(time.Now(), q), nil
}

func (n *Node) serve(now time.Time, q *peer.ExchangeRequest) *peer.ExchangeResponse {
	digest := toDigest(q.Digest)
	if n.foreign(digest) {
		return &peer.ExchangeResponse{Responder: n.self.ID, StoreAgeMillis: -1}
	}
	n.apply(q.Documents)
	n.mu.Lock()
	sender := Member{ID: q.Sender, Incarnation: q.Incarnation}
	switch {
	case q.Registered || n.registry.Contains(sender):
		// A sender whose registration answer was lost may be in the registry
		// without knowing it.
		n.hear(sender, q, digest, now)
	default:
		d := n.debts[sender]
		if d == nil {
			d = &debt{released: map[string]int64{}}
			n.debts[sender] = d
		}
		d.last = now
		record(d.released, q.Released)
	}
	p := &peer.ExchangeResponse{
		Responder: n.self.ID, StoreAgeMillis: n.storeAgeMillis(now), Leaving: n.leaving,
	}
	// Without an incarnation the sender does not count this process. A process
	// that leaves takes on no debt.
	if n.permit.Admitted() && (!n.leaving || n.debts[sender] == nil) {
		p.Incarnation = n.self.Incarnation
	}
	n.mu.Unlock()
	own := n.o.Replica.Digest()
	p.Digest = fromDigest(own)
	p.Documents = fromDocuments(n.newer(digest))
	p.Released = n.confirmable(now)
	p.Demand = n.demand()
	return p
}

// foreign reports whether a digest comes from another region. The platform's
// list names no regions, so an entry VM that looks for peers may call here. It
// never counts this process, which would owe it a debt that no registration
// here ends.
func (n *Node) foreign(digest map[string]int64) bool {
	if _, same := digest[Key(n.o.Region)]; same {
		return false
	}
	for key := range digest {
		if strings.HasPrefix(key, keyPrefix) {
			return true
		}
	}
	return false
}

func (n *Node) hear(sender Member, q *peer.ExchangeRequest, digest map[string]int64, now time.Time) {
	if !n.registry.Contains(sender) {
		return
	}
	maps.DeleteFunc(n.debts, func(m Member, d *debt) bool {
		// A registered process ends an earlier one of the same id, which
		// may be the later one in a registry that lags.
		return m.ID == sender.ID && now.Sub(d.last) >= T
	})
	c := n.contact(sender.ID)
	c.incarnation, c.heard, c.digest, c.demand, c.leaving = sender.Incarnation, now, digest, q.Demand, q.Leaving
	n.confirm(sender, q.Released)
}

func (n *Node) contact(id string) *contact {
	c, ok := n.contacts[id]
	if !ok {
		c = &contact{}
		n.contacts[id] = c
	}
	return c
}

func (n *Node) confirm(m Member, released []*peer.ReleasedVM) {
	held := n.confirmations[m]
	if held == nil {
		held = map[string]int64{}
		n.confirmations[m] = held
	}
	if record(held, released) && n.o.Confirmed != nil {
		n.o.Confirmed()
	}
}

// record keeps the highest released generation of each VM and reports whether
// one was new. A released generation stays released, so late messages do no
// harm.
func record(held map[string]int64, released []*peer.ReleasedVM) bool {
	grown := false
	for _, r := range released {
		if r.Generation > held[r.Vm] {
			held[r.Vm] = r.Generation
			grown = true
		}
	}
	return grown
}

// confirmable lists the own releases without those that an unregistered entry
// VM, which relied on this member, has not released.
func (n *Node) confirmable(now time.Time) []*peer.ReleasedVM {
	if n.o.Released == nil {
		return nil
	}
	released := n.o.Released()
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Before(n.withholdUntil) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(released), func(r *peer.ReleasedVM) bool {
		for _, d := range n.debts {
			if d.released[r.Vm] < r.Generation {
				return true
			}
		}
		return false
	})
}

// settleDebtsLoop drops the debts to entry VMs that the platform no longer
// lists.
func (n *Node) settleDebtsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, T)
		n.mu.Lock()
		owing := len(n.debts) > 0
		n.mu.Unlock()
		if !owing || n.o.Inventory == nil {
			continue
		}
		now := time.Now()
		listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		vms, err := n.o.Inventory.VMs(listCtx)
		cancel()
		if err == nil && len(vms) > 0 {
			n.settleDebts(now, vms)
		}
	}
}

// settleDebts takes a list that was read after now. T after the last exchange
// the permit that rested on it is over; absence from the list says that the
// requests in flight are over too.
func (n *Node) settleDebts(now time.Time, vms []infrastructure.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.debts, func(m Member, d *debt) bool {
		listed := slices.ContainsFunc(vms, func(vm infrastructure.VM) bool { return vm.ID == m.ID })
		return !listed && now.Sub(d.last) >= T
	})
}

func (n *Node) demand() []*peer.PoolDemand {
	if n.o.Demand == nil {
		return nil
	}
	return n.o.Demand()
}

// Valid reports whether this entry VM may send a request now.
func (n *Node) Valid(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.permit.Valid(now)
}

// StoreAge returns the age of the knowledge of the fleet document, from the
// store or through a peer; ok is false while there is none.
func (n *Node) StoreAge(now time.Time) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.permit.StoreAge(now)
}

// Registered reports whether this process is registered.
func (n *Node) Registered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.registered != 0
}

// Live returns the sorted ids of the members that answered within 3 s
// and are not leaving. This entry VM is among them when it is registered and
// not leaving, or when it knows of no other.
func (n *Node) Live() []string {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for id, c := range n.contacts {
		if id != n.self.ID && !c.leaving && now.Sub(c.answered) < liveFor {
			out = append(out, id)
		}
	}
	if !n.leaving && (n.registered != 0 || len(out) == 0) {
		out = append(out, n.self.ID)
	}
	slices.Sort(out)
	return out
}

// Registry returns the registry that this entry VM holds and its version.
func (n *Node) Registry() (Registry, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.registry, n.version
}

// Confirmations returns the highest released generation per member and VM, the
// own ones included.
func (n *Node) Confirmations() map[Member]map[string]int64 { return n.confirmationsAt(time.Now()) }

func (n *Node) confirmationsAt(now time.Time) map[Member]map[string]int64 {
	own := n.confirmable(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[Member]map[string]int64, len(n.confirmations)+1)
	for m, released := range n.confirmations {
		out[m] = maps.Clone(released)
	}
	mine := map[string]int64{}
	record(mine, own)
	out[n.self] = mine
	return out
}

// Contacts returns the start of the last complete exchange with each member,
// and now for this one when it is registered.
func (n *Node) Contacts() map[Member]time.Time { return n.contactsAt(time.Now()) }

func (n *Node) contactsAt(now time.Time) map[Member]time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[Member]time.Time{}
	for id, c := range n.contacts {
		if !c.exchanged.IsZero() {
			out[Member{ID: id, Incarnation: c.incarnation}] = c.exchanged
		}
	}
	if n.registered != 0 {
		out[n.self] = now
	}
	return out
}

// Heard returns when each member was last heard from, in either direction.
func (n *Node) Heard() map[string]time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]time.Time{n.self.ID: time.Now()}
	for id, c := range n.contacts {
		out[id] = c.heard
	}
	return out
}

// RegistryVersions returns the version of the registry that each member held
// at its last exchange.
func (n *Node) RegistryVersions() map[Member]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[Member]int64{n.self: n.version}
	for id, c := range n.contacts {
		if c.incarnation != "" {
			out[Member{ID: id, Incarnation: c.incarnation}] = c.digest[Key(n.o.Region)]
		}
	}
	return out
}

// DemandOfMembers returns the demand that the live members reported, the own
// included.
func (n *Node) DemandOfMembers() []*peer.PoolDemand {
	out := slices.Clone(n.demand())
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.contacts {
		if now.Sub(c.heard) < liveFor {
			out = append(out, c.demand...)
		}
	}
	return out
}

// AddressOf returns the peer address of a registered member.
func (n *Node) AddressOf(id string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rec, ok := n.registry.Find(id)
	return rec.PeerAddress, ok
}

func (n *Node) apply(docs []*peer.Document) {
	keys := n.Keys()
	for _, doc := range docs {
		if slices.Contains(keys, doc.Key) {
			n.mu.Lock()
			n.received[doc.Key] = max(n.received[doc.Key], doc.Version)
			n.mu.Unlock()
			n.o.Replica.Apply(replica.Document{Key: doc.Key, Version: doc.Version, Value: doc.Value})
		}
	}
}

// covers reports whether the replica is at least as new as the digest.
func (n *Node) covers(digest map[string]int64) bool {
	own := n.o.Replica.Digest()
	for _, key := range n.Keys() {
		if own[key] < digest[key] {
			return false
		}
	}
	return true
}

// lacks reports whether a document has to be pushed to the other side.
func (n *Node) lacks(digest map[string]int64) bool {
	return len(n.pushed(digest)) > 0
}

// pushed returns the documents newer than the digest that originate here. The
// other side asks for the rest by its own exchange.
func (n *Node) pushed(digest map[string]int64) []replica.Document {
	newer := n.newer(digest)
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(newer, func(doc replica.Document) bool { return n.origin[doc.Key] != doc.Version })
}

// newer returns the documents of Keys that are newer than the digest. Other
// documents are not sent, because the receiver would not take them.
func (n *Node) newer(digest map[string]int64) []replica.Document {
	keys := n.Keys()
	return slices.DeleteFunc(n.o.Replica.Newer(digest), func(doc replica.Document) bool {
		return !slices.Contains(keys, doc.Key)
	})
}

func toDigest(versions []*peer.DocumentVersion) map[string]int64 {
	out := make(map[string]int64, len(versions))
	for _, v := range versions {
		out[v.Key] = v.Version
	}
	return out
}

func fromDigest(digest map[string]int64) []*peer.DocumentVersion {
	out := make([]*peer.DocumentVersion, 0, len(digest))
	for _, key := range slices.Sorted(maps.Keys(digest)) {
		out = append(out, &peer.DocumentVersion{Key: key, Version: digest[key]})
	}
	return out
}

func fromDocuments(docs []replica.Document) []*peer.Document {
	out := make([]*peer.Document, 0, len(docs))
	for _, doc := range docs {
		out = append(out, &peer.Document{Key: doc.Key, Version: doc.Version, Value: doc.Value})
	}
	return out
}
