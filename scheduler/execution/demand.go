package execution

import (
	"math"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

// arrivalWindow is the time over which the rate of new work is measured. At
// 10 jobs/s it holds enough of them to tell a burst, which lasts some seconds.
const arrivalWindow = 500 * time.Millisecond

// arrival is a new job with the work that it brings in core-seconds.
type arrival struct {
	at   Time
	work float64
}

// noteArrival counts the work of a new job that can start at once. Work that
// lasts, or that fills what is left over, asks for no VMs by its rate.
func (c *Core) noteArrival(j *jobState, now Time) {
	if !j.Due(0).IsZero() {
		return
	}
	work := 0.0
	for _, s := range j.occurrences[0] {
		if !s.spec.LongRunning && !s.spec.Filler {
			work += float64(len(s.items)) * cores(s.spec.Charge().MilliCPU) * c.runTime(s, now).Seconds()
		}
	}
	service := c.queueOf(j).Service
	c.arrivals[service] = append(c.recentArrivals(service, now), arrival{now, work})
}

func (c *Core) recentArrivals(service string, now Time) []arrival {
	return slices.DeleteFunc(c.arrivals[service], func(a arrival) bool { return now-a.at > arrivalWindow })
}

// arriving is a low estimate of the new work for a service in core-seconds per
// second: the rate in the window less one standard deviation, which leaves
// nothing of a single large job.
func (c *Core) arriving(service string, now Time) float64 {
	c.arrivals[service] = c.recentArrivals(service, now)
	var sum, squares float64
	for _, a := range c.arrivals[service] {
		sum += a.work
		squares += a.work * a.work
	}
	return (sum - math.Sqrt(squares)) / arrivalWindow.Seconds()
}

// Demands returns what each service of the manifest asks for.
func (c *Core) Demands(now Time) []capacity.Demand {
	byService := map[string]*capacity.Demand{}
	var order []string
	for _, s := range c.manifest.Services {
		byService[s.Name] = &capacity.Demand{Pool: s.Name, Spare: s.Spare}
		order = append(order, s.Name)
	}
	for _, w := range c.sorted {
		d := byService[w.Service]
		if d == nil || !w.present {
			continue
		}
		d.CoresPerVM = max(d.CoresPerVM, cores(w.Capacity.MilliCPU))
		d.Used += cores(w.used.MilliCPU)
		for _, cp := range w.inOrder {
			if cp.item.step.spec.LongRunning {
				d.Lasting += cores(cp.item.step.spec.Charge().MilliCPU)
			}
		}
	}
	for _, s := range c.listed {
		d := byService[c.queueOf(s.job).Service]
		if d == nil || s.job.final() {
			continue
		}
		waiting := 0
		for n := range s.items {
			if s.items[n].waiting() {
				waiting++
			}
		}
		if most := s.spec.MaxPerWorker; most > 0 && waiting > 0 {
			d.MinVMs = max(d.MinVMs, (s.left+most-1)/most)
		}
		asked := float64(waiting) * cores(s.spec.Charge().MilliCPU)
		d.Waiting += asked
		d.Backlog += asked * c.runTime(s, now).Seconds()
	}
	demands := make([]capacity.Demand, 0, len(order))
	for _, name := range order {
		byService[name].Arriving = c.arriving(name, now)
		demands = append(demands, *byService[name])
	}
	return demands
}

// SparePools returns the services whose VMs are off.
func (c *Core) SparePools() map[string]bool {
	spare := map[string]bool{}
	for _, s := range c.manifest.Services {
		if s.Spare {
			spare[s.Name] = true
		}
	}
	return spare
}

func cores(milliCPU int64) float64 { return float64(milliCPU) / 1000 }

// WorkersByService counts the workers that can take work.
func (c *Core) WorkersByService() map[string]int {
	counts := map[string]int{}
	for _, w := range c.sorted {
		if w.present && w.contacted {
			counts[w.Service]++
		}
	}
	return counts
}
