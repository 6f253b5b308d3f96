package sizing

// The size within two years, from sections 1.4 and 1.5 of the design page.
// entriesAhead is the assumption that docs/CAPACITY.md justifies.
const (
	regionsAhead  = 4
	workersAhead  = 2000 / regionsAhead
	poolsAhead    = 30
	teamsAhead    = 710
	entriesAhead  = 24
	changesPerDay = 700

	coreBudget   = 0.013
	memoryBudget = 256e6
	byteBudget   = 21e3
	readBudget   = 2000
	writeBudget  = 500
	valueBudget  = 1 << 20
	// roundBudget is that of section 1.7 in milliseconds.
	roundBudget    = 50
	shards         = 16
	batchesBySec   = 20
	secondsPerDay  = 86_400
	collectorRatio = 2
)

// lines are the slopes that the budgets are checked with.
type lines struct {
	documents documentLines
	memory    memoryLines
	processor cpuLines
	callers   callerLines
	keyMemory line
	region    regionLines
}

// budget adds a value at a size with its budget.
func (m *measurement) budget(measure, unit string, value, limit float64) {
	met := value <= limit
	m.rows = append(m.rows, Row{Measure: measure, Unit: unit, Value: value, Target: &limit, Met: &met})
}

func (m *measurement) value(measure, unit string, value float64) {
	m.rows = append(m.rows, Row{Measure: measure, Unit: unit, Value: value})
}

// configBytes is the size of the configuration of all regions.
func (d documentLines) configBytes(workers, pools, teams float64) float64 {
	// The lines by pool and by team were measured with 500 workers, 6 pools
	// and one team; each contributes its slope beyond that.
	return d.configByWorker.at(workers) + d.configByPool.slope*(pools-6) + d.configByTeam.slope*(teams-1)
}

// checkBudgets computes the size within two years from the slopes.
func (m *measurement) checkBudgets(l lines) {
	m.budget("idle exchange of an entry VM, 8 in the region", "B/s", l.region.exchange.at(8), byteBudget)
	m.budget("idle exchange of an entry VM, 24 in the region", "B/s", l.region.exchange.at(entriesAhead), byteBudget)
	m.value("entry VMs in a region at which the idle exchange reaches 21 KB/s", "entry VMs", l.region.exchange.crossing(byteBudget))
	m.budget("control holder from the platform, 50 workers", "B/s", l.region.holder.at(50), byteBudget)
	m.budget("control holder from the platform, 500 workers", "B/s", l.region.holder.at(workersAhead), byteBudget)
	m.budget("reads of the list by an entry VM without the control role, 500 workers", "B/s", l.region.list.at(workersAhead), byteBudget)
	m.value("workers in a region at which the control holder reaches 21 KB/s", "workers", l.region.holder.crossing(byteBudget))

	config := l.documents.configBytes(2000, 117, teamsAhead)
	m.budget("configuration of 4 regions", "B", config, valueBudget)
	m.budget("fleet document of a region of 500 workers", "B", l.documents.fleetByWorker.at(workersAhead), valueBudget)
	m.value("workers at which the fleet document reaches 1 MiB", "workers", l.documents.fleetByWorker.crossing(valueBudget))

	const needed = 2.0 * (entriesAhead - 1) / entriesAhead
	change := l.region.fleetCopies.slope * needed * l.documents.fleetByWorker.at(workersAhead)
	m.value("one change of the fleet at an entry VM, 24 in the region, 500 workers", "B", change)
	m.value("changes of the fleet a day that 21 KB/s carries on average, nothing else", "1/day",
		byteBudget*secondsPerDay/change)
	// Each note also writes its revision into the fleet document.
	note := l.region.noteCopies.slope * needed * (config + l.documents.fleetByWorker.at(workersAhead))
	m.value("one note at an entry VM, 24 in the region, 500 workers", "B", note)
	m.budget("700 notes a day at an entry VM, on average", "B/s", note*changesPerDay/secondsPerDay, byteBudget)

	m.budget("platform calls of 4 regions of 24 without reads of single keys", "1/s",
		regionsAhead*l.region.steady.at(entriesAhead), readBudget)
	m.value("platform calls of a region, largest window of the sweep over entry VMs", "1/s", l.region.mostCalls)
	m.budget("writes of claims at their limit, 8 owners in one region", "1/s", 8*batchesBySec, writeBudget)
	m.budget("writes of claims at their limit, 16 owners in each of 4 regions", "1/s",
		regionsAhead*shards*batchesBySec, writeBudget)

	m.value("demand of 30 pools in all exchanges of an entry VM, 24 in the region", "B/s",
		4*(entriesAhead-1)*l.documents.demandByPool.slope*poolsAhead/entriesAhead)
	m.value("busy slots of 500 busy workers in all exchanges of an entry VM, 24 in the region", "B/s",
		4*(entriesAhead-1)*l.documents.busyByWorker.slope*workersAhead/entriesAhead)
	workerMemory := l.memory.byWorker.at(workersAhead) + l.memory.byPool.slope*(poolsAhead-6)
	m.value("memory of an entry VM for 500 workers and 30 pools", "B", workerMemory)
	if !m.quick {
		m.value("keys of the last 24 h that 256 MB hold, twice the live bytes", "keys", memoryBudget/collectorRatio/l.keyMemory.slope)
		m.budget("memory of an idle entry VM with 500 workers and 30 pools, twice the live bytes", "B",
			collectorRatio*(l.region.memory.slope+workerMemory), memoryBudget)
		m.budget("processor time of an idle entry VM, 24 in the region", "cores", l.region.entryCPU.at(entriesAhead), coreBudget)
	}
	m.budget("fleet step, maintenance plan and capacity plan, 2,000 workers and 117 pools", "ms",
		(m.valueAt("processor time of a fleet step", 2000)+m.valueAt("processor time of a maintenance plan", 2000)+
			m.valueAt("processor time of a capacity plan", 2000))/1e3, roundBudget)
	m.budget("processor time of the control holder, one round a second, 500 workers", "cores",
		m.valueAt("processor time of a control round without its calls", workersAhead)/1e6, coreBudget)
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
	panic("no value of " + measure)
}
