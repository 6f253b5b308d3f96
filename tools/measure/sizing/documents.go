package sizing

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"dotterelhead.example/dotterelhead/control"
	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/membership"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/routing"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
	"dotterelhead.example/dotterelhead/scheduler/dispatching"
	"dotterelhead.example/dotterelhead/scheduler/maintenance"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

// documentLines are the fitted lines of the sizes of documents and messages.
type documentLines struct {
	fleetByWorker, configByWorker, configByPool, configByTeam, registryByEntry, listByWorker, demandByPool, busyByWorker line
}

// exactSeries returns a series of a value that is the same in every run, so that
// both repeats are equal.
func exactSeries(sizes []int, value func(n int) float64) series {
	var s series
	for _, n := range sizes {
		s.add(float64(n), value(n), value(n))
	}
	return s
}

// fitDocumentSizes measures the sizes of encoded documents and messages.
func (m *measurement) fitDocumentSizes() documentLines {
	var l documentLines
	configBytes := func(s size) float64 { return float64(len(configOf(s).Encode())) }
	workers := []int{50, 200, 500, 1000, 2000}
	l.fleetByWorker = m.addFit("fleet document", "B", "worker", exactSeries(workers, func(n int) float64 {
		return float64(len(fleetOf(configOf(size{workers: n, pools: 6, teams: 1}), vms(n)).Encode()))
	}))
	l.listByWorker = m.addFit("platform's list", "B", "worker", exactSeries(workers, func(n int) float64 {
		value, err := json.Marshal(httpclient.VMsResponse{VMs: vms(n)})
		if err != nil {
			panic(err)
		}
		return float64(len(value))
	}))
	l.configByWorker = m.addFit("configuration", "B", "worker", exactSeries(workers, func(n int) float64 {
		return configBytes(size{workers: n, pools: 6, teams: 1})
	}))
	l.configByPool = m.addFit("configuration, a service with each pool", "B", "pool", exactSeries([]int{6, 30, 60, 117}, func(n int) float64 {
		return configBytes(size{workers: 500, pools: n, teams: 1})
	}))
	l.configByTeam = m.addFit("configuration", "B", "team", exactSeries([]int{10, 100, 300, 710}, func(n int) float64 {
		return configBytes(size{workers: 500, pools: 6, teams: n})
	}))
	l.registryByEntry = m.addFit("registry", "B", "entry VM", exactSeries([]int{3, 6, 12, 24, 96}, func(n int) float64 {
		return float64(len(registryOf(n).Encode()))
	}))
	l.demandByPool = m.addFit("demand in an exchange", "B", "pool", exactSeries([]int{1, 6, 30, 117}, func(n int) float64 {
		q := &peer.ExchangeRequest{}
		for i := range n {
			q.Demand = append(q.Demand, &peer.PoolDemand{Pool: fmt.Sprintf("pool-%03d", i), SlotsWanted: 31.5, Queued: 200, Busy: 30})
		}
		return float64(proto.Size(q))
	}))
	l.busyByWorker = m.addFit("busy slots in the demand of a pool", "B", "busy worker", exactSeries([]int{1, 8, 17, 128}, func(n int) float64 {
		d := &peer.PoolDemand{BusySlots: map[string]int32{}}
		for i := range n {
			d.BusySlots[workerID(i)] = 8
		}
		return float64(proto.Size(d))
	}))
	m.addFit("confirmation of a release in an exchange", "B", "VM in transition", exactSeries([]int{1, 4, 16, 64}, func(n int) float64 {
		q := &peer.ExchangeRequest{}
		for i := range n {
			q.Released = append(q.Released, &peer.ReleasedVM{Vm: workerID(i), Generation: 1000})
		}
		return float64(proto.Size(q))
	}))
	return l
}

func registryOf(n int) membership.Registry {
	var r membership.Registry
	for i := range n {
		r = r.Add(membership.Record{
			ID: fmt.Sprintf("entry-%02d", i), Incarnation: uuid.Nil.String(),
			PeerAddress: fmt.Sprintf("10.0.0.%d:8100", i+10), AvailabilityZone: regionName + "-a", Listed: true,
		})
	}
	return r
}

// fleetCopy holds what an entry VM keeps in memory for a fleet: the documents as
// received and as decoded, the routing table and the dispatchers of its pools.
type fleetCopy struct {
	raw    [][]byte
	config note.Config
	table  *routing.Table
	pools  []*dispatching.Pool
}

type noPermit struct{}

func (noPermit) Valid(time.Time) bool { return false }

func newFleetCopy(configValue, fleetValue []byte) fleetCopy {
	c := fleetCopy{raw: [][]byte{append([]byte(nil), configValue...), append([]byte(nil), fleetValue...)}}
	var err error
	if c.config, err = note.DecodeConfig(c.raw[0]); err != nil {
		panic(err)
	}
	document, err := fleet.Decode(c.raw[1])
	if err != nil {
		panic(err)
	}
	c.table = routing.New(routing.Options{Permit: noPermit{}, CloseIdle: func(string) {}, OnDrained: func() {}})
	c.table.Update(document)
	for _, p := range c.config.Pools {
		pool := dispatching.NewPool(dispatching.Options{MaxQueue: note.DefaultMaxQueue})
		var workers []dispatching.Worker
		for _, vm := range c.table.Serving(p.Name) {
			workers = append(workers, dispatching.Worker{
				ID: vm.ID, Address: vm.Address, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack,
				Slots: p.SlotsPerWorker, Generation: vm.Generation,
			})
		}
		pool.SetWorkers(time.Now(), workers)
		c.pools = append(c.pools, pool)
	}
	return c
}

// fleetCopyBytes returns the mean memory of one fleetCopy.
func fleetCopyBytes(s size) float64 {
	config := configOf(s)
	configValue, fleetValue := config.Encode(), fleetOf(config, vms(s.workers)).Encode()
	const copies = 10
	before := liveBytes()
	held := make([]fleetCopy, copies)
	for i := range held {
		held[i] = newFleetCopy(configValue, fleetValue)
	}
	used := liveBytes() - before
	runtime.KeepAlive(held)
	runtime.KeepAlive(configValue)
	runtime.KeepAlive(fleetValue)
	return used / copies
}

// memoryLines are the fitted lines of the memory that an entry VM needs for the
// fleet of its region.
type memoryLines struct{ byWorker, byPool line }

func (m *measurement) fitMemory() memoryLines {
	var l memoryLines
	var workers, pools series
	for _, n := range []int{50, 200, 500, 1000, 2000} {
		s := size{workers: n, pools: 6, teams: 1}
		workers.add(float64(n), fleetCopyBytes(s), fleetCopyBytes(s))
	}
	for _, n := range []int{6, 30, 60, 117} {
		s := size{workers: 500, pools: n, teams: 1}
		pools.add(float64(n), fleetCopyBytes(s), fleetCopyBytes(s))
	}
	l.byWorker = m.addFit("memory of an entry VM that dispatches every pool", "B", "worker", workers)
	l.byPool = m.addFit("memory of an entry VM that dispatches every pool", "B", "pool", pools)
	return l
}

// cpuLines are the fitted lines of processor times in microseconds: of a fleet
// step, a maintenance plan, a capacity plan, a control round, and of decoding a
// fleet document and updating the routing table.
type cpuLines struct{ step, maintenancePlan, capacityPlan, round, tableUpdate line }

// fitProcessorTimes measures computations without I/O, on fleets whose number of
// pools grows with the number of workers.
func (m *measurement) fitProcessorTimes() cpuLines {
	var step, maintenancePlan, capacityPlan, round, tableUpdate series
	for _, n := range []int{50, 200, 500, 1000, 2000} {
		pools := max(6, n*117/2000)
		config := configOf(size{workers: n, pools: pools, teams: 1})
		// One wave over the whole fleet.
		for _, p := range config.Pools {
			if len(config.Waves) == 0 {
				config.Waves = []note.Wave{{Name: "wave", MaxConcurrent: 4, LastChangedRevision: 1}}
			}
			config.Waves[0].Pools = append(config.Waves[0].Pools, p.Name)
		}
		list := vms(n)
		document := fleetOf(config, list)
		inputs := fleet.Inputs{Now: time.Now(), Term: 1, Config: config, VMList: list, Steady: true}
		configValue, fleetValue := config.Encode(), document.Encode()
		add := func(s *series, run func()) { s.add(float64(n), m.cost(run), m.cost(run)) }
		waves := maintenanceSnapshot(config, document)
		add(&step, func() { fleet.Step(document, inputs) })
		add(&maintenancePlan, func() { maintenance.Next(waves) })
		planner, snapshot, now := capacity.NewPlanner(capacity.Options{WaitingWeight: 1, BufferWeight: 1, WarmUp: -1}), capacitySnapshot(config, document), time.Now()
		add(&capacityPlan, func() {
			now = now.Add(time.Second)
			planner.Plan(now, snapshot)
		})
		listAnswer, err := json.Marshal(httpclient.VMsResponse{VMs: list})
		if err != nil {
			panic(err)
		}
		add(&round, func() {
			now = now.Add(time.Second)
			controlRound(now, planner, document, listAnswer, configValue, inputs)
		})
		add(&tableUpdate, func() {
			decoded, err := fleet.Decode(fleetValue)
			if err != nil {
				panic(err)
			}
			table := routing.New(routing.Options{Permit: noPermit{}, CloseIdle: func(string) {}, OnDrained: func() {}})
			table.Update(decoded)
		})
	}
	return cpuLines{
		step:            m.addFit("processor time of a fleet step", "us", "worker", step),
		maintenancePlan: m.addFit("processor time of a maintenance plan", "us", "worker", maintenancePlan),
		capacityPlan:    m.addFit("processor time of a capacity plan", "us", "worker", capacityPlan),
		round:           m.addFit("processor time of a control round without its calls", "us", "worker", round),
		tableUpdate:     m.addFit("processor time to take in a fleet document", "us", "worker", tableUpdate),
	}
}

// controlRound performs the computations that the control holder does each
// second when nothing changes, without its platform calls. The fleet document is
// not decoded, because the holder keeps the one that it last read or wrote.
func controlRound(now time.Time, planner *capacity.Planner, document fleet.Document, listAnswer, configValue []byte, inputs fleet.Inputs) {
	var listed httpclient.VMsResponse
	if err := json.Unmarshal(listAnswer, &listed); err != nil {
		panic(err)
	}
	config, err := note.DecodeConfig(configValue)
	if err != nil {
		panic(err)
	}
	inputs.Config, inputs.VMList = config, listed.VMs
	planner.Plan(now, capacitySnapshot(config, document))
	maintenance.Next(maintenanceSnapshot(config, document))
	fleet.PendingTransitions(document, inputs)
	next, _ := fleet.Step(document, inputs)
	next.Equal(document)
}

func maintenanceSnapshot(config note.Config, document fleet.Document) maintenance.Snapshot {
	s := maintenance.Snapshot{Pools: control.MaintenancePools(config)}
	for _, vm := range document.VMs {
		s.VMs = append(s.VMs, maintenance.VM{
			ID: vm.ID, Pool: vm.Pool, HomePool: vm.HomePool, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack,
		})
	}
	for _, w := range config.Waves {
		s.Waves = append(s.Waves, maintenance.Wave{Name: w.Name, Pools: w.Pools, MaxConcurrent: w.MaxConcurrent})
	}
	return s
}

func capacitySnapshot(config note.Config, document fleet.Document) capacity.Snapshot {
	var s capacity.Snapshot
	counts := map[string]int{}
	for _, vm := range document.VMs {
		counts[vm.Pool]++
		s.VMs = append(s.VMs, capacity.VM{
			ID: vm.ID, Pool: vm.Pool, HomePool: vm.HomePool, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack, Serving: true,
		})
	}
	for i, p := range config.Pools {
		s.Pools = append(s.Pools, capacity.Pool{
			Name: p.Name, Spare: i == 0, VMs: counts[p.Name], MinimumVMs: p.MinimumVMs, MaxUnavailable: 1,
			SlotsPerWorker: p.SlotsPerWorker, SlotsWanted: float64(2 * counts[p.Name]), Busy: 2 * counts[p.Name],
		})
	}
	return s
}

// cost returns the processor time of one call of run in microseconds, the
// median over several loops.
func (m *measurement) cost(run func()) float64 {
	loops, each := 5, 40*time.Millisecond
	if m.quick {
		loops, each = 1, 4*time.Millisecond
	}
	run()
	var costs []float64
	for range loops {
		calls, before := 0, processTime()
		for begun := time.Now(); time.Since(begun) < each || calls == 0; calls++ {
			run()
		}
		costs = append(costs, float64((processTime()-before).Microseconds())/float64(calls))
	}
	return median(costs)
}
