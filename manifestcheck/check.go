// Package manifestcheck checks a manifest of the job service before the operator writes it to
// the store, and compares it with the manifest in force.
package manifestcheck

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/platform"
)

// Finding is a finding about a manifest.
type Finding struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Severity is "error" or "warning".
	Severity string `json:"severity"`
	Message  string `json:"message"`
}

// Severities of findings.
const (
	Error   = "error"
	Warning = "warning"
)

// maxWeightRatio is the factor between the weights of two organisations above which a warning
// is given. Beyond it the lighter one's share of a full pool of 1,000 workers is less than one
// worker.
const maxWeightRatio = 1000

type checker struct {
	*platform.ManifestFile
	errors, warnings findings.List
}

// Check returns the findings about a manifest, sorted by position. The jobs are ones that every
// organisation should be able to run. inForce is the manifest to compare with, or nil.
func Check(f *platform.ManifestFile, jobs []*job.Job, inForce *platform.ManifestFile) []Finding {
	c := &checker{ManifestFile: f, errors: slices.Concat(f.Rejected, f.Repeated, f.Altered), warnings: slices.Clone(f.Unknown)}
	if f.Manifest != nil {
		if f.Manifest.Version < 1 {
			c.errors.Add(c.At(platform.PathVersion), "version %d is missing or below 1", f.Manifest.Version)
		}
		if len(f.Manifest.Queues) == 0 {
			c.warnings.Add(c.At(platform.PathVersion), "the manifest has no queues, so that all requests get 404")
		}
		c.checkNames()
		c.checkServices()
		c.checkQueues()
		c.checkOrganisations(jobs)
		if inForce != nil {
			c.compare(inForce)
		}
	}
	list := []Finding{}
	add := func(severity string, found findings.List) {
		for _, f := range found.Limited() {
			list = append(list, Finding{f.Position.File, max(f.Position.Line, 1), max(f.Position.Column, 1), severity, f.Message})
		}
	}
	add(Error, c.errors)
	add(Warning, c.warnings)
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return list
}

// checkNames checks the names of queues and services. The daemon checks those of organisations.
func (c *checker) checkNames() {
	seen := map[id]bool{}
	for _, e := range entries(c.ManifestFile) {
		if e.kind != kindOrganisation && (e.name == "" || seen[e.id]) {
			c.errors.Add(e.at, "%s %q: the name is empty or that of another one", e.kind, e.name)
		}
		seen[e.id] = true
	}
}

func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, q := range c.Manifest.Queues {
		used[q.Service] = true
	}
	for n, s := range c.Manifest.Services {
		if !used[s.Name] && !s.Spare {
			c.warnings.Add(c.At(platform.PathServiceName, n), "service %q: no queue uses it, and it is not the spare pool", s.Name)
		}
	}
}

func (c *checker) checkQueues() {
	spare := map[string]bool{}
	for _, s := range c.Manifest.Services {
		spare[s.Name] = s.Spare
	}
	type route struct{ host, prefix string }
	routes := map[route]string{}
	for n, q := range c.Manifest.Queues {
		add := func(path platform.ManifestPath, format string, args ...any) {
			c.errors.Add(c.At(path, n), "queue %q: "+format, append([]any{q.Name}, args...)...)
		}
		if isSpare, known := spare[q.Service]; q.Service == "" {
			add(platform.PathQueueService, "it has no service")
		} else if !known {
			add(platform.PathQueueService, "the manifest has no service %q", q.Service)
		} else if isSpare {
			add(platform.PathQueueService, "service %q is the spare pool, whose VMs are off", q.Service)
		}

		r := route{q.Host, q.Prefix}
		if first, ok := routes[r]; ok {
			add(platform.PathQueuePrefix, "it gets no requests, as queue %q before it has the same host and prefix", first)
		} else {
			routes[r] = q.Name
		}
		// The host of a request is compared without its port, and its path starts with a slash.
		if _, _, err := net.SplitHostPort(q.Host); err == nil || q.Host == "" {
			add(platform.PathQueueHost, "it gets no requests, as host %q is empty or has a port", q.Host)
		}
		if q.Prefix != "" && !strings.HasPrefix(q.Prefix, "/") {
			add(platform.PathQueuePrefix, "it gets no requests, as prefix %q does not start with a slash", q.Prefix)
		}
		if q.Timeout > 0 && q.TargetLatency > q.Timeout {
			c.warnings.Add(c.At(platform.PathQueueTargetLatency, n), "queue %q: target latency %s is above the time limit of a call, %s", q.Name, q.TargetLatency, q.Timeout)
		}
		if a := q.Advice; a != nil && a.Validity < a.Decide+a.PerItem {
			c.warnings.Add(c.At(platform.PathQueueValidity, n), "queue %q: advice is valid for %s, less than the %s that a decision about one worker takes", q.Name, a.Validity, a.Decide+a.PerItem)
		}
	}
}

func (c *checker) checkOrganisations(jobs []*job.Job) {
	heaviest := job.Organisation{}
	for _, o := range c.Organisations {
		if o.Weight > heaviest.Weight {
			heaviest = o.Organisation
		}
	}
	for n, o := range c.Organisations {
		if o.Keys == 0 {
			c.warnings.Add(c.At(platform.PathOrganisationKeys, n), "organisation %q: it has no key and can submit nothing", o.Name)
		}
		// A weight that is not above 0 is already an error.
		if o.Weight > 0 && heaviest.Weight > maxWeightRatio*o.Weight {
			c.warnings.Add(c.At(platform.PathOrganisationWeight, n), "organisation %q: weight %g is below that of %q, %g, by a factor of more than %d", o.Name, o.Weight, heaviest.Name, heaviest.Weight, maxWeightRatio)
		}
		for _, j := range jobs {
			checked := *j
			checked.Organisation = o.Name
			if err := checked.CheckCap(o.Cap); err != nil {
				c.warnings.Add(c.At(platform.PathOrganisationCap, n), "job %s: %s", j.ID, err)
			}
		}
	}
}
