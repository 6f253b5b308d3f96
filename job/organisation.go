package job

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
	if o == nil {
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
