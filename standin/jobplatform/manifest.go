package jobplatform

// Route is an entry of a manifest: the queue of the requests for a host and path
// prefix, and the service that handles them.
type Route struct {
	Name, Host, Prefix, Service string
	// Public routes take requests without a key.
	Public bool
}

// Organisation is an organisation in a manifest with its keys. A weight of 0 is left out, and
// then counts as 1. A cap of 0 is no limit.
type Organisation struct {
	Name        string
	Keys        []string
	Weight      float64
	CapMilliCPU int64
}

// Manifest returns a manifest in the form that the platform's operator writes to the
// key op/config, for use with Publish. In the manifest a service has the name of the
// pool that runs it. Without organisations, requests need no keys.
func Manifest(version int64, routes []Route, services []string, spare string, organisations ...Organisation) any {
	rows := []map[string]any{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "service": r.Service, "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "attempts": 2, "stretch": 1.6, "public": r.Public,
		})
	}
	entries := []map[string]any{}
	for _, s := range services {
		entries = append(entries, map[string]any{"name": s, "admissionCheck": false, "spare": false})
	}
	if spare != "" {
		entries = append(entries, map[string]any{"name": spare, "admissionCheck": false, "spare": true})
	}
	manifest := map[string]any{
		"version": version, "routes": rows, "services": entries,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	}
	if len(organisations) > 0 {
		manifest["tenants"] = tenants(organisations)
	}
	return manifest
}

func tenants(organisations []Organisation) []map[string]any {
	var rows []map[string]any
	for _, o := range organisations {
		row := map[string]any{"name": o.Name, "apiKeys": o.Keys, "cap": map[string]int64{"cpu": o.CapMilliCPU, "memMb": 0, "gpu": 0}}
		if o.Weight > 0 {
			row["weight"] = o.Weight
		}
		rows = append(rows, row)
	}
	return rows
}
