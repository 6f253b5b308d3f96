package manifestcheck

import (
	"reflect"
	"strings"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/platform"
)

// entry is a queue, a service or an organisation of a manifest.
type entry struct {
	id
	value any
	at    findings.Position
}

type id struct{ kind, name string }

const kindOrganisation = "organisation"

// compare reports what differs from the manifest in force.
func (c *checker) compare(inForce *platform.ManifestFile) {
	before, after := inForce.Manifest, c.Manifest
	for _, f := range inForce.Rejected {
		// A comparison that was asked for and not made is an error.
		list := &c.warnings
		if before == nil {
			list = &c.errors
		}
		list.Add(f.Position, "the manifest to compare with is not followed: %s", f.Message)
	}
	if before == nil {
		return
	}
	if after.Version <= before.Version {
		c.errors.Add(c.At(platform.PathVersion), "version %d is not higher than version %d in force and would be ignored", after.Version, before.Version)
	}
	change := func(at findings.Position, format string, args ...any) {
		c.warnings.Add(at, "differs from version %d: "+format, append([]any{before.Version}, args...)...)
	}
	former, kept := map[id]any{}, map[id]bool{}
	for _, e := range entries(inForce) {
		former[e.id] = e.value
	}
	for _, e := range entries(c.ManifestFile) {
		kept[e.id] = true
		if value, ok := former[e.id]; !ok {
			change(e.at, "%s %q added", e.kind, e.name)
		} else if fields := changedFields(value, e.value); len(fields) > 0 {
			change(e.at, "%s %q changed: %s", e.kind, e.name, strings.Join(fields, ", "))
		}
	}
	for _, e := range entries(inForce) {
		if !kept[e.id] {
			change(c.At(platform.PathVersion), "%s %q removed", e.kind, e.name)
		}
	}
	for n, o := range c.Organisations {
		if former := before.Organisations.ByName(o.Name); former != nil && lowered(former.Cap, o.Cap) {
			change(c.At(platform.PathOrganisationCap, n), "organisation %q: cap lowered to %v, was %v", o.Name, o.Cap, former.Cap)
		}
	}
	at := c.At(platform.PathOrganisations)
	switch {
	case before.Organisations == nil && after.Organisations != nil:
		change(at, "a list of organisations is added, so that requests need keys")
	case before.Organisations != nil && after.Organisations == nil:
		change(at, "the list of organisations is removed, so that requests need no keys")
	}
	if k := after.Organisations.ChangesSince(before.Organisations); k.KeysAdded > 0 || k.KeysRemoved > 0 {
		change(at, "%d keys added, %d keys withdrawn", k.KeysAdded, k.KeysRemoved)
	}
	if before.MaxBodyBytes != after.MaxBodyBytes {
		change(c.At(platform.PathMaxBodyBytes), "limit of bodies changed to %d bytes, was %d; 0 is the default", after.MaxBodyBytes, before.MaxBodyBytes)
	}
}

// entries returns the queues, services and organisations of a manifest.
func entries(f *platform.ManifestFile) (list []entry) {
	for n, q := range f.Manifest.Queues {
		list = append(list, entry{id{"queue", q.Name}, q, f.At(platform.PathQueueName, n)})
	}
	for n, s := range f.Manifest.Services {
		list = append(list, entry{id{"service", s.Name}, s, f.At(platform.PathServiceName, n)})
	}
	for n, o := range f.Organisations {
		list = append(list, entry{id{kindOrganisation, o.Name}, o.Organisation, f.At(platform.PathOrganisationName, n)})
	}
	return list
}

// changedFields returns the names of the fields in which two structs of one type differ.
func changedFields(before, after any) (fields []string) {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			fields = append(fields, a.Type().Field(i).Name)
		}
	}
	return fields
}

// lowered reports whether cap after allows less of any resource than before. 0 is no limit.
func lowered(before, after job.Resources) bool {
	less := func(a, b int64) bool { return b > 0 && (a == 0 || b < a) }
	return less(before.MilliCPU, after.MilliCPU) || less(before.MemoryMB, after.MemoryMB) || less(before.GPU, after.GPU)
}
