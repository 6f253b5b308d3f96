package job

// Limits of the organisations of a manifest.
const (
	// MaxKeyBytes bounds a key. Usual API keys and signed tokens are shorter.
	MaxKeyBytes = 1024
	// MaxOrganisationNameBytes bounds a name, which is in the records of jobs, in log lines
	// and in labels of metrics.
	MaxOrganisationNameBytes = 128
	// MaxWeight keeps sums and quotients of weights finite.
	MaxWeight = 1e6
)

// Organisation is a customer in whose name jobs are submitted.
type Organisation struct {
	Name string
	// Weight is the share of the organisation of a pool that is full, relative to those of
	// the others, and the number of jobs a second that it may expect to be served.
	Weight float64
	// Cap bounds what the organisation may have running on all workers together. A
	// resource of 0 has no limit.
	Cap Resources
}

// Organisations are those of a manifest with their keys. They never change.
type Organisations struct {
	byName map[string]*Organisation
	byKey  map[string]*Organisation
}

// NewOrganisations returns an empty set, in which every key is unknown.
func NewOrganisations() *Organisations {
	return &Organisations{byName: map[string]*Organisation{}, byKey: map[string]*Organisation{}}
}

// Add adds an organisation with its keys. It replaces one of the same name.
func (o *Organisations) Add(organisation Organisation, keys []string) {
	o.byName[organisation.Name] = &organisation
	for _, key := range keys {
		o.byKey[key] = &organisation
	}
}

// ByName returns the organisation with the given name, or nil. o may be nil.
func (o *Organisations) ByName(name string) *Organisation {
	if o == nil {
		return nil
	}
	return o.byName[name]
}

// ByKey returns the organisation that has the key, or nil. o may be nil.
func (o *Organisations) ByKey(key string) *Organisation {
	if o == nil || len(key) > MaxKeyBytes {
		return nil
	}
	return o.byKey[key]
}

// Len returns the number of organisations. o may be nil.
func (o *Organisations) Len() int {
	if o == nil {
		return 0
	}
	return len(o.byName)
}

// OrganisationChanges counts what differs between the organisations of two manifests.
type OrganisationChanges struct {
	Added, Removed         int
	KeysAdded, KeysRemoved int
	// Changed is the number of organisations whose weight or cap differs.
	Changed int
}

// ChangesSince compares o with the organisations of the manifest before. Both may be nil. A
// key that now belongs to another organisation counts as removed and added.
func (o *Organisations) ChangesSince(before *Organisations) OrganisationChanges {
	if o == nil {
		o = NewOrganisations()
	}
	if before == nil {
		before = NewOrganisations()
	}
	var c OrganisationChanges
	c.Added, c.KeysAdded = o.countMissingIn(before)
	c.Removed, c.KeysRemoved = before.countMissingIn(o)
	for name, organisation := range o.byName {
		if former := before.byName[name]; former != nil && *former != *organisation {
			c.Changed++
		}
	}
	return c
}

// countMissingIn returns how many organisations and keys of o are not in other.
func (o *Organisations) countMissingIn(other *Organisations) (organisations, keys int) {
	for name := range o.byName {
		if other.byName[name] == nil {
			organisations++
		}
	}
	for key, organisation := range o.byKey {
		if former := other.byKey[key]; former == nil || former.Name != organisation.Name {
			keys++
		}
	}
	return organisations, keys
}
