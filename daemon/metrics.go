package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/membership"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/replica"
	"dotterelhead.example/dotterelhead/tlsconfig"
)

// metricsInterval is the time between updates of the gauges.
const metricsInterval = time.Second

// metrics updates the gauges of an entry VM. It counts the changes of its documents,
// the transitions and reboots that they start, and the failed writes of claims.
// docs/OPERATIONS.md lists all metrics.
type metrics struct {
	entry   *EntryVM
	scope   tally.Scope
	started time.Time
	// countedWriteFailures is the number of failed writes of claims that the
	// counter already includes.
	countedWriteFailures int64
	// reportedPools holds the pools that have gauges. The gauges of a removed
	// pool are set to zero, because a gauge keeps its last value.
	reportedPools map[string]bool

	mu    sync.Mutex
	fleet fleet.Document
}

func newMetrics(e *EntryVM) *metrics {
	m := &metrics{entry: e, scope: e.options.Scope, started: time.Now(), reportedPools: map[string]bool{}}
	// Counters are exported as 0 from the start. Otherwise Prometheus would not
	// see the first increment as an increase.
	for _, name := range []string{"retries_total", "retries_refused_total", "reboots_started_total", "claims_write_failures_total"} {
		m.scope.Counter(name)
	}
	for _, purpose := range transitionPurposes {
		m.transitionsStartedCounter(purpose)
	}
	return m
}

var transitionPurposes = []fleet.Purpose{fleet.PurposeMove, fleet.PurposeMaintenance, fleet.PurposeLeaving}

func (m *metrics) tagged(name, value string) tally.Scope {
	return m.scope.Tagged(map[string]string{name: value})
}

func (m *metrics) transitionsStartedCounter(purpose fleet.Purpose) tally.Counter {
	return m.tagged("purpose", string(purpose)).Counter("transitions_started_total")
}

func (m *metrics) run(ctx context.Context) {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		m.updateGauges()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *metrics) updateGauges() {
	e, now := m.entry, time.Now()
	m.boolGauge("ready", e.Ready())
	m.boolGauge("permit_valid", e.node.Valid(now))
	m.boolGauge("registered", e.node.Registered())
	m.gauge("live_members", float64(len(e.node.Live())))
	registry, _ := e.node.Registry()
	m.gauge("registered_members", float64(registry.Size()))
	age, ok := e.node.FleetDocumentAge(now)
	if !ok {
		age = now.Sub(m.started)
	}
	m.gauge("store_knowledge_age_seconds", age.Seconds())
	status := e.control.Status()
	m.boolGauge("control_role_held", status.Holding)
	m.boolGauge("control_steady", status.Holding && status.Steady)
	m.gauge("revision_in_force", float64(e.configInForce().Revision))
	m.gauge("requests_in_flight", float64(e.ingress.InFlight()))
	m.gauge("backend_requests_in_flight", float64(e.table.InFlight()))
	m.setClaims()
	m.setPools()
	m.setFleet()
	m.setCertificates(now)
}

func (m *metrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

func (m *metrics) boolGauge(name string, value bool) {
	number := 0.0
	if value {
		number = 1
	}
	m.gauge(name, number)
}

func (m *metrics) setClaims() {
	stats := m.entry.claimOwner.Stats()
	m.gauge("claims_shards_owned", float64(stats.OwnedShards))
	m.gauge("claims_shards_unavailable", float64(stats.UnavailableShards))
	m.gauge("claims_unsettled", float64(stats.UnsettledClaims))
	m.scope.Counter("claims_write_failures_total").Inc(stats.WriteFailures - m.countedWriteFailures)
	m.countedWriteFailures = stats.WriteFailures
}

// setPools updates the queue gauges of the pools that this entry VM dispatches
// and the gauge of serving workers of all pools.
func (m *metrics) setPools() {
	type state struct{ queued, busy, serving float64 }
	pools := map[string]state{}
	for name := range m.reportedPools {
		pools[name] = state{}
	}
	for _, pool := range m.entry.configInForce().Pools {
		pools[pool.Name] = state{serving: float64(len(m.entry.table.Serving(pool.Name)))}
	}
	for _, demand := range m.entry.server.Demand() {
		pool := pools[demand.Pool]
		pool.queued, pool.busy = float64(demand.Queued), float64(demand.Busy)
		pools[demand.Pool] = pool
	}
	for name, pool := range pools {
		m.reportedPools[name] = true
		scope := m.tagged("pool", name)
		scope.Gauge("queue_length").Update(pool.queued)
		scope.Gauge("slots_busy").Update(pool.busy)
		scope.Gauge("serving_vms").Update(pool.serving)
	}
}

func (m *metrics) setFleet() {
	m.mu.Lock()
	defer m.mu.Unlock()
	transitions := map[fleet.Purpose]int{}
	down, paused := 0, 0
	for _, vm := range m.fleet.VMs {
		switch vm.Phase {
		case fleet.Releasing, fleet.Rebooting:
			transitions[vm.Purpose]++
		case fleet.Down:
			down++
		}
	}
	for _, wave := range m.fleet.Waves {
		if wave.Paused && !wave.Finished {
			paused++
		}
	}
	for _, purpose := range transitionPurposes {
		m.tagged("purpose", string(purpose)).Gauge("transitions_in_progress").Update(float64(transitions[purpose]))
	}
	m.gauge("down_vms", float64(down))
	m.gauge("waves_paused", float64(paused))
}

func (m *metrics) setCertificates(now time.Time) {
	secured := m.entry.security
	for listener, source := range map[string]*tlsconfig.Source{
		"caller": secured.caller, "operator": secured.operator, "peer": secured.peer,
	} {
		if source == nil {
			continue
		}
		if expires := source.Expires(); !expires.IsZero() {
			m.tagged("listener", listener).Gauge("certificate_remaining_seconds").Update(expires.Sub(now).Seconds())
		}
	}
}

// onDocument is called under the replica's lock.
func (m *metrics) onDocument(doc replica.Document) {
	region := m.entry.settings.Region
	name, known := map[string]string{
		note.ConfigKey: "config", fleet.DocumentKey(region): "fleet", membership.RegistryKey(region): "members",
	}[doc.Key]
	if !known {
		return
	}
	scope := m.tagged("document", name)
	scope.Counter("replica_versions_applied_total").Inc(1)
	scope.Gauge("replica_version").Update(float64(doc.Version))
}

// onFleet is called under the replica's lock.
func (m *metrics) onFleet(next fleet.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entry.control.Status().Holding {
		m.countStartedTransitions(next)
	}
	m.fleet = next
}

// countStartedTransitions counts the transitions that a new document starts. Only
// the entry VM with the control role, which updates the fleet document, counts them,
// so that the sum over all entry VMs is the total of the region.
func (m *metrics) countStartedTransitions(next fleet.Document) {
	before := make(map[string]fleet.VM, len(m.fleet.VMs))
	for _, vm := range m.fleet.VMs {
		before[vm.ID] = vm
	}
	for _, vm := range next.VMs {
		previous, ok := before[vm.ID]
		if !ok {
			continue
		}
		if vm.Purpose != fleet.PurposeNone && vm.Purpose != previous.Purpose {
			m.transitionsStartedCounter(vm.Purpose).Inc(1)
		}
		if vm.Phase == fleet.Rebooting && previous.Phase != fleet.Rebooting {
			m.scope.Counter("reboots_started_total").Inc(1)
		}
	}
}
