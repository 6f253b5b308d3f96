package execution

import "dotterelhead.example/dotterelhead/scheduler/capacity"

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
		asked := float64(waiting) * cores(s.spec.Charge().MilliCPU)
		d.Waiting += asked
		d.Backlog += asked * c.runTime(s, now).Seconds()
	}
	demands := make([]capacity.Demand, 0, len(order))
	for _, name := range order {
		demands = append(demands, *byService[name])
	}
	return demands
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
