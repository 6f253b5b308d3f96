package sizing

// The size that is planned within two years and the budgets, from sections 1.4
// and 1.5 of docs/design.md. plannedEntryVMs, the entry VMs of a region, is an
// assumption that docs/CAPACITY.md justifies.
const (
	plannedRegions          = 4
	plannedWorkersPerRegion = 2000 / plannedRegions
	plannedPoolsPerRegion   = 30
	plannedTeams            = 710
	plannedEntryVMs         = 24
	changesPerDay           = 700

	// Budgets of an entry VM.
	coreBudget    = 0.013 // cores
	memoryBudget  = 256e6 // bytes
	trafficBudget = 21e3  // bytes sent and received per second
	// Budgets of the platform.
	platformCallBudget = 2000    // calls per second of all regions
	writeBudget        = 500     // writes per second of all regions
	valueBudget        = 1 << 20 // bytes of a stored value
	// roundBudgetMillis is the budget of a control round, from section 1.7.
	roundBudgetMillis = 50
	// shardsPerRegion are the shards of the idempotency keys, which can have as
	// many owners. claimBatchesPerSecond limits the writes of one owner.
	shardsPerRegion       = 16
	claimBatchesPerSecond = 20
	secondsPerDay         = 86_400
	// heapToLiveRatio is the size of the heap relative to the live bytes just
	// before a garbage collection.
	heapToLiveRatio = 2
)

// lines are the fitted lines of all measurements. checkBudgets uses a part of
// them.
type lines struct {
	documents documentLines
	memory    memoryLines
	processor cpuLines
	callers   callerLines
	// keyMemory is the memory of a shard owner for idempotency keys.
	keyMemory line
	region    regionLines
}

// addBudget adds a row with a value and its budget.
func (m *measurement) addBudget(measure, unit string, value, limit float64) {
	met := value <= limit
	m.rows = append(m.rows, Row{Measure: measure, Unit: unit, Value: value, Target: &limit, Met: &met})
}

func (m *measurement) addValue(measure, unit string, value float64) {
	m.rows = append(m.rows, Row{Measure: measure, Unit: unit, Value: value})
}

// configBytes returns the size of the configuration, which all regions share.
func (d documentLines) configBytes(workers, pools, teams float64) float64 {
	// configByWorker was measured with 6 pools and one team. configByPool and
	// configByTeam were measured with 500 workers and contribute their slopes for
	// the pools and teams beyond that.
	return d.configByWorker.at(workers) + d.configByPool.slope*(pools-6) + d.configByTeam.slope*(teams-1)
}

// checkBudgets extrapolates the fitted lines to the planned size and compares
// the results with the budgets.
func (m *measurement) checkBudgets(l lines) {
	// The idle exchange is the periodic calls between entry VMs while no requests
	// are sent and nothing changes.
	m.addBudget("idle exchange of an entry VM, 8 in the region", "B/s", l.region.exchange.at(8), trafficBudget)
	m.addBudget("idle exchange of an entry VM, 24 in the region", "B/s", l.region.exchange.at(plannedEntryVMs), trafficBudget)
	m.addValue("entry VMs in a region at which the idle exchange reaches 21 KB/s", "entry VMs", l.region.exchange.crossing(trafficBudget))
	m.addBudget("control holder from the platform, 50 workers", "B/s", l.region.holderBytes.at(50), trafficBudget)
	m.addBudget("control holder from the platform, 500 workers", "B/s", l.region.holderBytes.at(plannedWorkersPerRegion), trafficBudget)
	m.addBudget("reads of the list by an entry VM without the control role, 500 workers", "B/s", l.region.listBytes.at(plannedWorkersPerRegion), trafficBudget)
	m.addValue("workers in a region at which the control holder reaches 21 KB/s", "workers", l.region.holderBytes.crossing(trafficBudget))

	config := l.documents.configBytes(2000, 117, plannedTeams)
	m.addBudget("configuration of 4 regions", "B", config, valueBudget)
	m.addBudget("fleet document of a region of 500 workers", "B", l.documents.fleetByWorker.at(plannedWorkersPerRegion), valueBudget)
	m.addValue("workers at which the fleet document reaches 1 MiB", "workers", l.documents.fleetByWorker.crossing(valueBudget))

	const copiesPerEntryVM = 2.0 * (plannedEntryVMs - 1) / plannedEntryVMs
	change := l.region.fleetCopies.slope * copiesPerEntryVM * l.documents.fleetByWorker.at(plannedWorkersPerRegion)
	m.addValue("one change of the fleet at an entry VM, 24 in the region, 500 workers", "B", change)
	m.addValue("changes of the fleet a day that 21 KB/s carries on average, nothing else", "1/day",
		trafficBudget*secondsPerDay/change)
	// Each note also writes its revision into the fleet document.
	note := l.region.noteCopies.slope * copiesPerEntryVM * (config + l.documents.fleetByWorker.at(plannedWorkersPerRegion))
	m.addValue("one note at an entry VM, 24 in the region, 500 workers", "B", note)
	m.addBudget("700 notes a day at an entry VM, on average", "B/s", note*changesPerDay/secondsPerDay, trafficBudget)

	m.addBudget("platform calls of 4 regions of 24 without reads of single keys", "1/s",
		plannedRegions*l.region.callsWithoutGets.at(plannedEntryVMs), platformCallBudget)
	m.addValue("platform calls of a region, largest window of the sweep over entry VMs", "1/s", l.region.mostCalls)
	m.addBudget("writes of claims at their limit, 8 owners in one region", "1/s", 8*claimBatchesPerSecond, writeBudget)
	m.addBudget("writes of claims at their limit, 16 owners in each of 4 regions", "1/s",
		plannedRegions*shardsPerRegion*claimBatchesPerSecond, writeBudget)

	// Each entry VM calls each other one once a second. With each of the others it
	// exchanges 4 messages per second, a request and a response in either
	// direction. Each message holds the demand of the sender's share of the pools.
	m.addValue("demand of 30 pools in all exchanges of an entry VM, 24 in the region", "B/s",
		4*(plannedEntryVMs-1)*l.documents.demandByPool.slope*plannedPoolsPerRegion/plannedEntryVMs)
	m.addValue("busy slots of 500 busy workers in all exchanges of an entry VM, 24 in the region", "B/s",
		4*(plannedEntryVMs-1)*l.documents.busyByWorker.slope*plannedWorkersPerRegion/plannedEntryVMs)
	workerMemory := l.memory.byWorker.at(plannedWorkersPerRegion) + l.memory.byPool.slope*(plannedPoolsPerRegion-6)
	m.addValue("memory of an entry VM for 500 workers and 30 pools", "B", workerMemory)
	if !m.quick {
		m.addValue("keys of the last 24 h that 256 MB hold, twice the live bytes", "keys", memoryBudget/heapToLiveRatio/l.keyMemory.slope)
		m.addBudget("memory of an idle entry VM with 500 workers and 30 pools, twice the live bytes", "B",
			heapToLiveRatio*(l.region.memory.slope+workerMemory), memoryBudget)
		m.addBudget("processor time of an idle entry VM, 24 in the region", "cores", l.region.entryCPU.at(plannedEntryVMs), coreBudget)
	}
	m.addBudget("fleet step, maintenance plan and capacity plan, 2,000 workers and 117 pools", "ms",
		(m.valueAt("processor time of a fleet step", 2000)+m.valueAt("processor time of a maintenance plan", 2000)+
			m.valueAt("processor time of a capacity plan", 2000))/1e3, roundBudgetMillis)
	m.addBudget("processor time of the control holder, one round a second, 500 workers", "cores",
		m.valueAt("processor time of a control round without its calls", plannedWorkersPerRegion)/1e6, coreBudget)
}

// valueAt returns the measured value of a series at one of its sizes.
func (m *measurement) valueAt(measure string, x float64) float64 {
	for _, r := range m.rows {
		if r.Measure == measure && r.Fit != nil {
			for i, at := range r.Fit.Sizes {
				if at == x {
					return r.Fit.Values[i]
				}
			}
		}
	}
	panic("no value measured at the requested size for " + measure)
}
