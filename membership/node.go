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
	// liveFor is how long a member counts as live after it last answered a call,
	// and how long its demand counts after it was last heard from.
	liveFor = 3 * time.Second
	// watchWait is well below PermitTTL, because a watch shows that this entry VM
	// was up to date at the start of the call, not at its end.
	watchWait = 2 * time.Second
	// A member that does not watch reads the store itself when it was last up to
	// date longer than staleAfter ago. That is less than PermitTTL, and more than
	// watchWait plus exchangeInterval, the usual maximum while the watchers work.
	staleAfter = 3500 * time.Millisecond
	// watchers is the number of members that watch the store; the others
	// receive changes from them.
	watchers     = 2
	storeTimeout = 2 * time.Second
	storeRetry   = 500 * time.Millisecond
	// pushDelay gives the writer of a document time to push it to the watchers,
	// and the first watcher time to push it to the second. It covers a few
	// round trips of 1.5 ms between availability zones.
	pushDelay = 50 * time.Millisecond
)

// Options configures a Node.
type Options struct {
	Store            infrastructure.Store
	Inventory        infrastructure.Inventory
	Replica          *replica.Replica
	Region           string
	ID               string
	Incarnation      string
	PeerAddress      string
	AvailabilityZone string
	// Seeds are the peer addresses to fetch documents from while the registry
	// is unknown.
	Seeds []string
	Dial  func(address string) peer.Peer
	// Released lists the VM generations that this entry VM has released: it has
	// no request in flight and no connection to the VM. A release, once listed,
	// must hold for the life of the process.
	Released func() []*peer.ReleasedVM
	Demand   func() []*peer.PoolDemand
	// OnConfirmed is called when another member has confirmed a release. It must
	// neither block nor call the node. It may be nil.
	OnConfirmed func()
	Log         *log.Logger
}

// contact holds when another member was last in contact and what it reported.
type contact struct {
	incarnation string
	// lastHeard is when the member last called this node or answered its call.
	lastHeard time.Time
	// lastAnswer is when the member last answered a call. It decides whether
	// the member is live, because calls to a member that can send but cannot be
	// reached would hang.
	lastAnswer time.Time
	// lastCompleteExchange is the start of the last call of this node after
	// which it held every document of the member in at least the member's
	// version.
	lastCompleteExchange time.Time
	leaving              bool
	digest               map[string]int64
	demand               []*peer.PoolDemand
}

// unregisteredPeer is an entry VM that exchanged with this one while
// unregistered and may count it towards a majority. The holder of the control
// role does not wait for confirmations of an unregistered entry VM, so this
// member withholds its own confirmations until the unregistered one has
// released too.
type unregisteredPeer struct {
	// lastServed is when this node last served a call of the peer.
	lastServed time.Time
	released   map[string]int64
}

// Node takes part in the membership of a region.
type Node struct {
	options    Options
	self       Member
	trigger    chan struct{}
	reregister chan struct{}

	mu                sync.Mutex
	permit            *Permit
	registry          Registry
	registryVersion   int64
	registeredVersion int64
	superseded        bool
	// withholdUntil is PermitTTL after the registration. Until then no release is
	// confirmed: unregistered entry VMs that this process does not know of may
	// count a former process with the same id towards their majority. After
	// PermitTTL their permits have expired. One case is not covered: an
	// unregistered entry VM freezes between the check of its permit and the write,
	// and writes after every member that it counted has been replaced.
	withholdUntil time.Time
	leaving       bool
	contacts      map[string]*contact
	// fromPeers and fromStore hold the latest version of each document that
	// came from peers and from the reads and watches of this node. toPush holds
	// the versions that this node pushes to its peers: those that came in any
	// other way, such as its own writes, at once, and those read from the store
	// unless a peer sends them within the delay of applyFromStore. Pushing
	// versions received from peers as well would send the square of the number
	// of members in copies of each change.
	fromPeers         map[string]int64
	fromStore         map[string]int64
	toPush            map[string]int64
	confirmations     map[Member]map[string]int64
	unregisteredPeers map[Member]*unregisteredPeer
	// discovered are peer addresses from the platform's list of VMs.
	discovered []string
	// clients, exchanging and exchangeAgain are keyed by peer address.
	// exchanging marks an exchange in progress, exchangeAgain one that is to be
	// followed by another.
	clients       map[string]peer.Peer
	exchanging    map[string]bool
	exchangeAgain map[string]bool
	exchanges     sync.WaitGroup
}

// NewNode returns a node that is not registered yet.
func NewNode(o Options) *Node {
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	n := &Node{
		options:           o,
		self:              Member{ID: o.ID, Incarnation: o.Incarnation},
		trigger:           make(chan struct{}, 1),
		reregister:        make(chan struct{}, 1),
		permit:            NewPermit(o.ID),
		contacts:          map[string]*contact{},
		fromStore:         map[string]int64{},
		fromPeers:         map[string]int64{},
		toPush:            map[string]int64{},
		confirmations:     map[Member]map[string]int64{},
		unregisteredPeers: map[Member]*unregisteredPeer{},
		clients:           map[string]peer.Peer{},
		exchanging:        map[string]bool{},
		exchangeAgain:     map[string]bool{},
	}
	o.Replica.Subscribe(n.onDocument)
	return n
}

// Keys returns the store keys that every entry VM of the region replicates.
func (n *Node) Keys() []string {
	return []string{note.ConfigKey, fleet.DocumentKey(n.options.Region), RegistryKey(n.options.Region)}
}

// Trigger starts an exchange with every member without waiting for the next
// interval.
func (n *Node) Trigger() { notify(n.trigger) }

// notify signals c without blocking; a signal already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// onDocument handles a new version of a document. The replica calls it with its
// lock held.
func (n *Node) onDocument(doc replica.Document) {
	n.mu.Lock()
	push := n.fromPeers[doc.Key] != doc.Version && n.fromStore[doc.Key] != doc.Version
	if push {
		n.toPush[doc.Key] = doc.Version
	}
	n.mu.Unlock()
	if push {
		n.Trigger()
	}
	if doc.Key != RegistryKey(n.options.Region) {
		return
	}
	registry, err := DecodeRegistry(doc.Value)
	if err != nil {
		n.options.Log.Error().Str("event", "registry_unreadable").Int64("version", doc.Version).Err(err).Msg("")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registry, n.registryVersion = registry, doc.Version
	n.permit.SetRegistry(registry)
	n.pruneState()
	if n.registeredVersion == 0 || doc.Version <= n.registeredVersion || registry.Contains(n.self) {
		return
	}
	n.registeredVersion = 0
	n.permit.Unregister()
	if _, other := registry.Find(n.self.ID); other {
		// A newer process has registered with the same id and address.
		n.superseded = true
		n.permit.Close()
		n.options.Log.Error().Str("event", "registration_superseded").Str("id", n.self.ID).Msg("")
		return
	}
	notify(n.reregister)
}

// pruneState drops the confirmations and contacts of processes that are not
// registered, and the unregistered peers that are registered now. The caller
// holds mu.
func (n *Node) pruneState() {
	for m := range n.confirmations {
		if !n.registry.Contains(m) {
			delete(n.confirmations, m)
		}
	}
	for m := range n.unregisteredPeers {
		// The holder of the control role waits for a registered entry VM
		// itself.
		if n.registry.Contains(m) {
			delete(n.unregisteredPeers, m)
		}
	}
	for id := range n.contacts {
		if _, ok := n.registry.Find(id); !ok {
			delete(n.contacts, id)
		}
	}
}

// Run takes part in the membership until the context ends. The registration
// stays in the store; Leave removes it.
func (n *Node) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { n.registerLoop(ctx) })
	loops.Go(func() { n.expireUnregisteredPeersLoop(ctx) })
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
		wanted := n.registeredVersion == 0 && !n.superseded && !n.leaving
		n.mu.Unlock()
		if !wanted {
			select {
			case <-ctx.Done():
			case <-n.reregister:
			}
			continue
		}
		if err := n.register(ctx); err != nil && !errors.Is(err, infrastructure.ErrConflict) {
			n.options.Log.Warn().Str("event", "register_failed").Err(err).Msg("")
			n.discover(ctx)
			sleep(ctx, storeRetry)
		}
	}
}

// discover looks for peers in the platform's list of VMs while no registry is
// known.
func (n *Node) discover(ctx context.Context) {
	n.mu.Lock()
	registryUnknown := n.registryVersion == 0
	n.mu.Unlock()
	if !registryUnknown || n.options.Inventory == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	vms, err := n.options.Inventory.VMs(ctx)
	if err != nil {
		n.options.Log.Warn().Str("event", "discovery_failed").Err(err).Msg("")
		return
	}
	found := peerAddresses(vms, n.options.ID, n.options.PeerAddress)
	n.mu.Lock()
	n.discovered = found
	n.mu.Unlock()
	if len(found) > 0 {
		n.Trigger()
	}
}

// peerAddresses returns the peer addresses of the other listed entry VMs,
// assuming that they listen on the same port as this one. The list gives
// addresses with or without a port; a port there is not that of the peer
// listener.
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

// register adds the record of this process to the registry. If the answer to
// the write is lost, the next call reads the registry and finds the record if
// the write took effect.
func (n *Node) register(ctx context.Context) error {
	registry, doc, err := n.readRegistry(ctx)
	if err != nil {
		return err
	}
	if !registry.Contains(n.self) {
		registry = registry.Add(Record{
			ID: n.options.ID, Incarnation: n.options.Incarnation,
			PeerAddress: n.options.PeerAddress, AvailabilityZone: n.options.AvailabilityZone,
		})
		if doc, err = n.writeRegistry(ctx, registry, doc.Version); err != nil {
			return err
		}
	}
	n.setRegistered(doc, time.Now())
	n.options.Log.Info().Str("event", "registered").Str("id", n.self.ID).Int64("version", doc.Version).Msg("")
	n.Trigger()
	return nil
}

// setRegistered records a registration that is known to be in the store. It
// applies the registry first: the quorum floor of the record assumes that this
// process holds a registry that lists it before it counts itself in a majority.
func (n *Node) setRegistered(doc replica.Document, now time.Time) {
	n.options.Replica.Apply(doc)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registeredVersion = doc.Version
	n.permit.Register(now)
	n.withholdUntil = now.Add(PermitTTL)
}

func (n *Node) readRegistry(ctx context.Context) (Registry, replica.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := RegistryKey(n.options.Region)
	kv, err := n.options.Store.Get(ctx, key)
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
	key, value := RegistryKey(n.options.Region), r.Encode()
	version, err := n.options.Store.Put(ctx, key, value, expected, "")
	return replica.Document{Key: key, Version: version, Value: value}, err
}

// SetLeaving removes this entry VM from Live on every member.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.Trigger()
}

// Leave closes the permit and removes the record of this process from the
// registry. The caller must have finished all requests in flight and closed its
// connections to backend servers.
func (n *Node) Leave(ctx context.Context) error {
	n.mu.Lock()
	n.leaving = true
	n.permit.Close()
	var lastServed time.Time
	for _, unregistered := range n.unregisteredPeers {
		if unregistered.lastServed.After(lastServed) {
			lastServed = unregistered.lastServed
		}
	}
	n.mu.Unlock()
	// After the process has ended, nothing withholds confirmations for its
	// unregistered peers. First wait until none of them can rely on it any
	// more.
	sleep(ctx, time.Until(lastServed.Add(PermitTTL)))
	for {
		registry, doc, err := n.readRegistry(ctx)
		if err == nil && !registry.Contains(n.self) {
			return nil
		}
		if err == nil {
			doc, err = n.writeRegistry(ctx, registry.Remove(n.self), doc.Version)
		}
		if err == nil {
			n.options.Replica.Apply(doc)
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "remove registration")
		}
		if !errors.Is(err, infrastructure.ErrConflict) {
			sleep(ctx, storeRetry)
		}
	}
}

// readLoop keeps one document up to date: watchers wait for changes in the
// store. The other members receive them from peers, and read the document only
// when they were last up to date with the fleet document too long ago.
func (n *Node) readLoop(ctx context.Context, key string) {
	first := true
	for ctx.Err() == nil {
		registered, watching, stale := n.readState(time.Now())
		var err error
		switch {
		case !registered:
			// A read before the registration would not count for the permit.
			first = true
			sleep(ctx, 50*time.Millisecond)
		case first:
			if err = n.read(ctx, key); err == nil {
				first = false
			}
		case stale && !watching:
			// The pause limits the rate of reads of this key while the fleet
			// document, read by another loop, stays stale.
			if err = n.read(ctx, key); err == nil {
				sleep(ctx, storeRetry)
			}
		case watching:
			err = n.watch(ctx, key)
		default:
			sleep(ctx, 200*time.Millisecond)
		}
		if err != nil {
			// After a failed watch, read the document before watching again.
			first = true
			sleep(ctx, storeRetry)
		}
	}
}

// readState reports whether this process is registered, whether it is one of the
// watchers, and whether it was last up to date longer than staleAfter ago.
func (n *Node) readState(now time.Time) (registered, watching, stale bool) {
	order := rendezvous.Order("watch", n.Live())
	n.mu.Lock()
	defer n.mu.Unlock()
	age, ok := n.permit.FleetDocumentAge(now)
	return n.permit.Registered(), slices.Contains(order[:min(watchers, len(order))], n.self.ID), !ok || age > staleAfter
}

func (n *Node) read(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	kv, err := n.options.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, infrastructure.ErrNotFound) {
		return err
	}
	if err == nil {
		n.applyFromStore(kv)
	}
	n.recordUpToDate(key, start)
	return nil
}

// applyFromStore applies a document read from the store, and pushes it to the
// peers unless one of them sends it within a delay. The delay is pushDelay on the
// first watcher, three times that on the second and five times on the members
// that do not watch, so that usually only one of them pushes.
func (n *Node) applyFromStore(kv infrastructure.KeyValue) {
	rank := min(watchers, slices.Index(rendezvous.Order("watch", n.Live()), n.self.ID))
	if rank < 0 {
		rank = watchers
	}
	n.mu.Lock()
	alreadyRead := n.fromStore[kv.Key] >= kv.Version
	n.fromStore[kv.Key] = max(n.fromStore[kv.Key], kv.Version)
	n.mu.Unlock()
	n.options.Replica.Apply(replica.Document{Key: kv.Key, Version: kv.Version, Value: kv.Value})
	if alreadyRead {
		return
	}
	time.AfterFunc(pushDelay*time.Duration(1+2*rank), func() {
		n.mu.Lock()
		push := n.fromPeers[kv.Key] < kv.Version && n.toPush[kv.Key] < kv.Version
		if push {
			n.toPush[kv.Key] = kv.Version
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
	held, _ := n.options.Replica.Get(key)
	start := time.Now()
	result, err := n.options.Store.Watch(ctx, key, held.Version, watchWait)
	if err != nil {
		return err
	}
	for _, kv := range result.Changed {
		// Watch takes a prefix, which also matches longer keys.
		if kv.Key == key {
			n.applyFromStore(kv)
		}
	}
	n.recordUpToDate(key, start)
	return nil
}

// recordUpToDate records that this entry VM was up to date at start, the time
// at which the read or watch began. Only the fleet document counts.
func (n *Node) recordUpToDate(key string, start time.Time) {
	if key != fleet.DocumentKey(n.options.Region) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.permit.RecordUpToDate(start)
}

// exchangeLoop exchanges with every member once per exchangeInterval and when
// triggered.
func (n *Node) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		for _, address := range n.exchangeTargets() {
			n.startExchange(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.trigger:
		}
	}
}

// exchangeTargets returns the peer addresses of the other registered members
// or, while none is known, the seeds and the discovered addresses.
func (n *Node) exchangeTargets() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, rec := range n.registry.Members {
		if rec.ID != n.self.ID {
			out = append(out, rec.PeerAddress)
		}
	}
	if len(out) == 0 {
		for _, address := range slices.Concat(n.options.Seeds, n.discovered) {
			if address != n.options.PeerAddress && !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	return out
}

// startExchange begins an exchange with an address. If one is already in
// progress, another one follows it.
func (n *Node) startExchange(ctx context.Context, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.exchanging[address] {
		n.exchangeAgain[address] = true
		return
	}
	n.exchanging[address] = true
	n.exchanges.Go(func() {
		for {
			more := n.exchange(ctx, address)
			n.mu.Lock()
			more = (more || n.exchangeAgain[address]) && ctx.Err() == nil
			delete(n.exchangeAgain, address)
			if !more {
				delete(n.exchanging, address)
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
		c = n.options.Dial(address)
		n.clients[address] = c
	}
	return c
}

// exchange makes one call and reports whether there are documents left to push
// to the other side.
func (n *Node) exchange(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	start := time.Now()
	response, err := n.client(address).Exchange(ctx, n.newRequest(start, address))
	if err != nil {
		return false
	}
	return n.applyResponse(start, time.Now(), response) && n.hasDocumentsToPush(toDigest(response.Digest))
}

// applyResponse applies the response to a call made at start. It reports
// whether the response came from a registered member, whose document versions
// are then known.
func (n *Node) applyResponse(start, now time.Time, response *peer.ExchangeResponse) bool {
	n.applyDocuments(response.Documents)
	digest := toDigest(response.Digest)
	complete := n.covers(digest)
	n.mu.Lock()
	defer n.mu.Unlock()
	rec, ok := n.registry.Find(response.Responder)
	if !ok {
		return false
	}
	c := n.contact(rec.ID)
	c.lastHeard, c.lastAnswer, c.digest, c.demand, c.leaving = now, now, digest, response.Demand, response.Leaving
	if response.Incarnation == "" || response.Incarnation != rec.Incarnation {
		// The responder is not admitted, or is not the process that this
		// registry lists.
		return true
	}
	c.incarnation = response.Incarnation
	n.recordConfirmations(rec.Member(), response.Released)
	if !complete {
		return true
	}
	c.lastCompleteExchange = start
	n.permit.RecordExchange(rec.ID, start)
	if response.StoreAgeMillis >= 0 {
		n.permit.RecordUpToDate(start.Add(-time.Duration(response.StoreAgeMillis) * time.Millisecond))
	}
	return true
}

func (n *Node) newRequest(now time.Time, address string) *peer.ExchangeRequest {
	n.mu.Lock()
	var known map[string]int64
	for _, rec := range n.registry.Members {
		if c := n.contacts[rec.ID]; rec.PeerAddress == address && c != nil {
			known = c.digest
		}
	}
	request := &peer.ExchangeRequest{
		Sender: n.self.ID, Incarnation: n.self.Incarnation, Registered: n.registeredVersion != 0,
		StoreAgeMillis: n.storeAgeMillis(now), Leaving: n.leaving,
	}
	n.mu.Unlock()
	held := n.options.Replica.Digest()
	// The registry key tells the receiver the sender's region, so it is sent
	// even before the sender holds a registry.
	held[RegistryKey(n.options.Region)] = max(held[RegistryKey(n.options.Region)], 0)
	request.Digest = fromDigest(held)
	if known != nil {
		request.Documents = fromDocuments(n.documentsToPush(known))
	}
	request.Released = n.confirmableReleases(now)
	request.Demand = n.ownDemand()
	return request
}

func (n *Node) storeAgeMillis(now time.Time) int64 {
	age, ok := n.permit.FleetDocumentAge(now)
	if !ok {
		return -1
	}
	// Rounded up, so that the receiver never assumes too low an age.
	return age.Milliseconds() + 1
}

// Exchange serves the call of another entry VM.
func (n *Node) Exchange(_ context.Context, request *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	return n.serveExchange(time.Now(), request), nil
}

func (n *Node) serveExchange(now time.Time, request *peer.ExchangeRequest) *peer.ExchangeResponse {
	digest := toDigest(request.Digest)
	if n.fromOtherRegion(digest) {
		return &peer.ExchangeResponse{Responder: n.self.ID, StoreAgeMillis: -1}
	}
	n.applyDocuments(request.Documents)
	n.mu.Lock()
	sender := Member{ID: request.Sender, Incarnation: request.Incarnation}
	switch {
	case request.Registered || n.registry.Contains(sender):
		// If the answer to its registration was lost, the sender may be in the
		// registry without knowing it.
		n.recordSender(sender, request, digest, now)
	default:
		unregistered := n.unregisteredPeers[sender]
		if unregistered == nil {
			unregistered = &unregisteredPeer{released: map[string]int64{}}
			n.unregisteredPeers[sender] = unregistered
		}
		unregistered.lastServed = now
		raiseReleased(unregistered.released, request.Released)
	}
	response := &peer.ExchangeResponse{
		Responder: n.self.ID, StoreAgeMillis: n.storeAgeMillis(now), Leaving: n.leaving,
	}
	// Without an incarnation in the response, the sender does not count this
	// process towards its majority. A leaving process must not be counted by
	// further unregistered peers.
	if n.permit.Admitted() && (!n.leaving || n.unregisteredPeers[sender] == nil) {
		response.Incarnation = n.self.Incarnation
	}
	n.mu.Unlock()
	own := n.options.Replica.Digest()
	response.Digest = fromDigest(own)
	response.Documents = fromDocuments(n.newerDocuments(digest))
	response.Released = n.confirmableReleases(now)
	response.Demand = n.ownDemand()
	return response
}

// fromOtherRegion reports whether a digest comes from another region. The
// platform's list names no regions, so an entry VM of another region that looks
// for peers may call this one. The caller never counts this process towards its
// majority, and a record of it as an unregistered peer would stay, because it
// never registers in this region. A digest without any registry key is accepted.
func (n *Node) fromOtherRegion(digest map[string]int64) bool {
	if _, same := digest[RegistryKey(n.options.Region)]; same {
		return false
	}
	for key := range digest {
		if strings.HasPrefix(key, keyPrefix) {
			return true
		}
	}
	return false
}

// recordSender records what a registered sender reports. It ignores a sender that
// the registry held here lacks; the sender repeats its report in every exchange.
// The caller holds mu.
func (n *Node) recordSender(sender Member, request *peer.ExchangeRequest, digest map[string]int64, now time.Time) {
	if !n.registry.Contains(sender) {
		return
	}
	maps.DeleteFunc(n.unregisteredPeers, func(m Member, unregistered *unregisteredPeer) bool {
		// A registered process replaces an earlier one with the same id. With
		// an outdated registry, though, the unregistered process may be the
		// later one, so it is kept until PermitTTL after its last exchange.
		return m.ID == sender.ID && now.Sub(unregistered.lastServed) >= PermitTTL
	})
	c := n.contact(sender.ID)
	c.incarnation, c.lastHeard, c.digest, c.demand, c.leaving = sender.Incarnation, now, digest, request.Demand, request.Leaving
	n.recordConfirmations(sender, request.Released)
}

func (n *Node) contact(id string) *contact {
	c, ok := n.contacts[id]
	if !ok {
		c = &contact{}
		n.contacts[id] = c
	}
	return c
}

// recordConfirmations records the releases that a member has confirmed.
func (n *Node) recordConfirmations(m Member, released []*peer.ReleasedVM) {
	held := n.confirmations[m]
	if held == nil {
		held = map[string]int64{}
		n.confirmations[m] = held
	}
	if raiseReleased(held, released) && n.options.OnConfirmed != nil {
		n.options.OnConfirmed()
	}
}

// raiseReleased raises held to the highest released generation of each VM and
// reports whether any was raised. A released generation stays released, so
// messages that arrive late or out of order are harmless.
func raiseReleased(held map[string]int64, released []*peer.ReleasedVM) bool {
	raised := false
	for _, r := range released {
		if r.Generation > held[r.Vm] {
			held[r.Vm] = r.Generation
			raised = true
		}
	}
	return raised
}

// confirmableReleases lists the releases of this entry VM, without those that an
// unregistered entry VM that relies on this member has not released yet.
func (n *Node) confirmableReleases(now time.Time) []*peer.ReleasedVM {
	if n.options.Released == nil {
		return nil
	}
	released := n.options.Released()
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Before(n.withholdUntil) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(released), func(r *peer.ReleasedVM) bool {
		for _, unregistered := range n.unregisteredPeers {
			if unregistered.released[r.Vm] < r.Generation {
				return true
			}
		}
		return false
	})
}

// expireUnregisteredPeersLoop drops the unregistered peers that the platform no
// longer lists, once per PermitTTL.
func (n *Node) expireUnregisteredPeersLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, PermitTTL)
		n.mu.Lock()
		waiting := len(n.unregisteredPeers) > 0
		n.mu.Unlock()
		if !waiting || n.options.Inventory == nil {
			continue
		}
		now := time.Now()
		listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		vms, err := n.options.Inventory.VMs(listCtx)
		cancel()
		if err == nil && len(vms) > 0 {
			n.expireUnregisteredPeers(now, vms)
		}
	}
}

// expireUnregisteredPeers drops the unregistered peers that are absent from
// vms, a list read after now. PermitTTL after the last exchange the permit
// based on it has expired, and absence from the list is taken as proof that the
// requests in flight have ended too. Unlike for members, it does not matter
// whether the list ever contained the peer (see Record.Listed).
func (n *Node) expireUnregisteredPeers(now time.Time, vms []infrastructure.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.unregisteredPeers, func(m Member, unregistered *unregisteredPeer) bool {
		listed := slices.ContainsFunc(vms, func(vm infrastructure.VM) bool { return vm.ID == m.ID })
		return !listed && now.Sub(unregistered.lastServed) >= PermitTTL
	})
}

func (n *Node) ownDemand() []*peer.PoolDemand {
	if n.options.Demand == nil {
		return nil
	}
	return n.options.Demand()
}

// Valid reports whether this entry VM may send a request at the given time.
func (n *Node) Valid(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.permit.Valid(now)
}

// FleetDocumentAge returns the time since this entry VM was last up to date
// with the fleet document, by the store or through a peer; ok is false if it
// never was.
func (n *Node) FleetDocumentAge(now time.Time) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.permit.FleetDocumentAge(now)
}

// Registered reports whether this process is registered.
func (n *Node) Registered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.registeredVersion != 0
}

// Live returns the sorted ids of the members that answered within liveFor and
// are not leaving. Unless this entry VM is leaving itself, it is among them when
// it is registered or no other member is live.
func (n *Node) Live() []string {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for id, c := range n.contacts {
		if id != n.self.ID && !c.leaving && now.Sub(c.lastAnswer) < liveFor {
			out = append(out, id)
		}
	}
	if !n.leaving && (n.registeredVersion != 0 || len(out) == 0) {
		out = append(out, n.self.ID)
	}
	slices.Sort(out)
	return out
}

// Registry returns the registry that this entry VM holds and its version.
func (n *Node) Registry() (Registry, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.registry, n.registryVersion
}

// Confirmations returns the highest released generation per member and VM,
// including those of this entry VM.
func (n *Node) Confirmations() map[Member]map[string]int64 { return n.confirmationsAt(time.Now()) }

func (n *Node) confirmationsAt(now time.Time) map[Member]map[string]int64 {
	ownReleases := n.confirmableReleases(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[Member]map[string]int64, len(n.confirmations)+1)
	for m, released := range n.confirmations {
		out[m] = maps.Clone(released)
	}
	ownReleased := map[string]int64{}
	raiseReleased(ownReleased, ownReleases)
	out[n.self] = ownReleased
	return out
}

// LastExchanges returns the start of the last complete exchange with each
// member, and the current time for this one when it is registered. An exchange
// is complete if this entry VM then holds every document in at least the
// member's version. It may have been with a former process of the same entry
// VM.
func (n *Node) LastExchanges() map[Member]time.Time { return n.contactsAt(time.Now()) }

func (n *Node) contactsAt(now time.Time) map[Member]time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[Member]time.Time{}
	for id, c := range n.contacts {
		if !c.lastCompleteExchange.IsZero() {
			out[Member{ID: id, Incarnation: c.incarnation}] = c.lastCompleteExchange
		}
	}
	if n.registeredVersion != 0 {
		out[n.self] = now
	}
	return out
}

// LastHeard returns when each member last called this entry VM or answered its
// call.
func (n *Node) LastHeard() map[string]time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]time.Time{n.self.ID: time.Now()}
	for id, c := range n.contacts {
		out[id] = c.lastHeard
	}
	return out
}

// RegistryVersions returns the version of the registry that each member held
// at its last exchange.
func (n *Node) RegistryVersions() map[Member]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[Member]int64{n.self: n.registryVersion}
	for id, c := range n.contacts {
		if c.incarnation != "" {
			out[Member{ID: id, Incarnation: c.incarnation}] = c.digest[RegistryKey(n.options.Region)]
		}
	}
	return out
}

// MemberDemand returns the demand of this entry VM and that reported by the
// members heard from within liveFor.
func (n *Node) MemberDemand() []*peer.PoolDemand {
	out := slices.Clone(n.ownDemand())
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.contacts {
		if now.Sub(c.lastHeard) < liveFor {
			out = append(out, c.demand...)
		}
	}
	return out
}

// PeerAddress returns the peer address of a registered member.
func (n *Node) PeerAddress(id string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rec, ok := n.registry.Find(id)
	return rec.PeerAddress, ok
}

// applyDocuments applies the documents received from a peer.
func (n *Node) applyDocuments(docs []*peer.Document) {
	keys := n.Keys()
	for _, doc := range docs {
		if slices.Contains(keys, doc.Key) {
			n.mu.Lock()
			n.fromPeers[doc.Key] = max(n.fromPeers[doc.Key], doc.Version)
			n.mu.Unlock()
			n.options.Replica.Apply(replica.Document{Key: doc.Key, Version: doc.Version, Value: doc.Value})
		}
	}
}

// covers reports whether the replica is at least as new as the digest.
func (n *Node) covers(digest map[string]int64) bool {
	own := n.options.Replica.Digest()
	for _, key := range n.Keys() {
		if own[key] < digest[key] {
			return false
		}
	}
	return true
}

// hasDocumentsToPush reports whether this node has documents to push to a peer
// with the given digest.
func (n *Node) hasDocumentsToPush(digest map[string]int64) bool {
	return len(n.documentsToPush(digest)) > 0
}

// documentsToPush returns the documents newer than the digest that this node
// pushes. The other side gets the remaining ones in the response to its own
// exchange.
func (n *Node) documentsToPush(digest map[string]int64) []replica.Document {
	newer := n.newerDocuments(digest)
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(newer, func(doc replica.Document) bool { return n.toPush[doc.Key] != doc.Version })
}

// newerDocuments returns the documents of Keys that are newer than the digest.
// Others are not sent, because the receiver would not apply them.
func (n *Node) newerDocuments(digest map[string]int64) []replica.Document {
	keys := n.Keys()
	return slices.DeleteFunc(n.options.Replica.Newer(digest), func(doc replica.Document) bool {
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
