package execution

import (
	"math"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

// arrivalWindow is the time over which the rate of new work is measured. At
// 10 jobs/s it holds enough jobs to detect a burst, which lasts some seconds.
const arrivalWindow = 500 * time.Millisecond

// arrival is a new job with the work that it brings in core-seconds.
type arrival struct {
	at   Time
	work float64
}

// recordArrival records the work of a new job that can start at once. It leaves
// out long-running items and fillers, because the rate at which they arrive
// does not tell how many VMs they need.
func (c *Core) recordArrival(j *jobState, now Time) {
	if !j.Due(0).IsZero() {
		return
	}
	work := 0.0
	for _, s := range j.occurrence(0).steps {
		if !s.spec.LongRunning && !s.spec.Filler {
			work += float64(s.spec.Count) * cores(s.spec.Charge().MilliCPU) * c.runTime(s, now).Seconds()
		}
	}
	service := c.queueOf(j).Service
	c.arrivals[service] = append(c.recentArrivals(service, now), arrival{now, work})
}

// recentArrivals returns the arrivals within the last two windows.
func (c *Core) recentArrivals(service string, now Time) []arrival {
	return slices.DeleteFunc(c.arrivals[service], func(a arrival) bool { return now-a.at > 2*arrivalWindow })
}

// arrivalRate returns a low estimate of the new work for a service in
// core-seconds per second, and of the growth of this rate per second. The rate
// is that in the last window less one standard deviation, so that a single large
// job gives 0. The growth is what remains above the rate in the window before
// plus one standard deviation, so that it is 0 unless a burst clearly begins. jobs
// is the number of jobs of equal size whose rate has the same relative error.
func (c *Core) arrivalRate(service string, now Time) (rate, growth, jobs float64) {
	c.arrivals[service] = c.recentArrivals(service, now)
	var last, before windowWork
	for _, a := range c.arrivals[service] {
		if now-a.at <= arrivalWindow {
			last.add(a.work)
		} else {
			before.add(a.work)
		}
	}
	rate = (last.sum - last.deviation()) / arrivalWindow.Seconds()
	rateBefore := (before.sum + before.deviation()) / arrivalWindow.Seconds()
	if last.squares > 0 {
		jobs = last.sum * last.sum / last.squares
	}
	return rate, max(rate-rateBefore, 0) / arrivalWindow.Seconds(), jobs
}

// windowWork is the work that arrived within a window in core-seconds.
type windowWork struct{ sum, squares float64 }

func (w *windowWork) add(work float64) {
	w.sum += work
	w.squares += work * work
}

// deviation returns the standard deviation of the sum, if jobs arrive
// independently of each other.
func (w *windowWork) deviation() float64 { return math.Sqrt(w.squares) }

// Demands returns the demand of each service in the manifest, in the order of
// the manifest.
func (c *Core) Demands(now Time) []capacity.CoreDemand {
	byService := map[string]*capacity.CoreDemand{}
	var order []string
	for _, s := range c.manifest.Services {
		byService[s.Name] = &capacity.CoreDemand{Pool: s.Name, Spare: s.Spare}
		order = append(order, s.Name)
	}
	// registeredCores is the size of the largest VM by service. Entries that never answer
	// may be of another writer; they count only while no worker has answered.
	registeredCores := map[string]float64{}
	for _, w := range c.sortedWorkers {
		d := byService[w.Service]
		if d == nil || !w.present {
			continue
		}
		registeredCores[w.Service] = max(registeredCores[w.Service], cores(w.largestMilliCPU))
		if w.contacted {
			d.CoresPerVM = max(d.CoresPerVM, cores(w.largestMilliCPU))
			d.LostCores += cores(w.largestMilliCPU - w.Capacity.MilliCPU)
		}
		d.RunningCores += cores(w.used.MilliCPU)
		for _, cp := range w.orderedCopies {
			if cp.item.step.spec.LongRunning {
				d.LongRunningCores += cores(cp.item.step.spec.Charge().MilliCPU)
			}
		}
	}
	isolated := map[string]int{}
	for _, s := range c.pendingSteps {
		d := byService[c.queueOf(s.job).Service]
		if d == nil || s.job.final() {
			continue
		}
		waiting := s.startableItems()
		if maxPerWorker := s.spec.MaxPerWorker; maxPerWorker > 0 && waiting > 0 {
			d.RequiredVMs = max(d.RequiredVMs, (s.itemsLeft+maxPerWorker-1)/maxPerWorker)
		}
		isolated[d.Pool] += s.waitingForIsolation()
		waitingCores := float64(waiting) * cores(s.spec.Charge().MilliCPU)
		d.WaitingCores += waitingCores
		d.BacklogCoreSeconds += waitingCores * c.runTime(s, now).Seconds()
	}
	demands := make([]capacity.CoreDemand, 0, len(order))
	for _, name := range order {
		d := byService[name]
		if d.CoresPerVM == 0 {
			d.CoresPerVM = registeredCores[name]
		}
		// Isolated items take up to maxIsolationShare of the workers, one each.
		d.RequiredVMs = max(d.RequiredVMs, min(int(math.Ceil(float64(isolated[name])/maxIsolationShare)), len(c.sortedWorkers)/2))
		d.ArrivalRate, d.ArrivalGrowth, d.ArrivalJobs = c.arrivalRate(name, now)
		demands = append(demands, *byService[name])
	}
	return demands
}

// SpareServices returns the services whose VMs are spares that are switched off.
func (c *Core) SpareServices() map[string]bool {
	spare := map[string]bool{}
	for _, s := range c.manifest.Services {
		if s.Spare {
			spare[s.Name] = true
		}
	}
	return spare
}

func cores(milliCPU int64) float64 { return float64(milliCPU) / 1000 }

// WorkersByService counts, for each service, the registered workers that have
// answered this owner.
func (c *Core) WorkersByService() map[string]int {
	counts := map[string]int{}
	for _, w := range c.sortedWorkers {
		if w.present && w.contacted {
			counts[w.Service]++
		}
	}
	return counts
}
