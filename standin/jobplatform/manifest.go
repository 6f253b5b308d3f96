package jobplatform

// Route is an entry of a manifest: the queue of the requests for a host and path
// prefix, and the service that handles them.
type Route struct {
	Name, Host, Prefix, Service string
}

// Manifest returns a manifest in the form that the platform's operator writes to the
// key op/config, for use with Publish. In the manifest a service has the name of the
// pool that runs it.
func Manifest(version int64, routes []Route, services []string, spare string) any {
	rows := []map[string]any{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "service": r.Service, "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "attempts": 2, "stretch": 1.6,
		})
	}
	entries := []map[string]any{}
	for _, s := range services {
		entries = append(entries, map[string]any{"name": s, "admissionCheck": false, "spare": false})
	}
	if spare != "" {
		entries = append(entries, map[string]any{"name": spare, "admissionCheck": false, "spare": true})
	}
	return map[string]any{
		"version": version, "routes": rows, "services": entries,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	}
}
