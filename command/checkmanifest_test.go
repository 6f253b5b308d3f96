package command

import (
	"encoding/json"
	"strings"
	"testing"

	"dotterelhead.example/dotterelhead/manifestcheck"
)

// Guards against exit codes by which a script would send a manifest with errors, or not send
// one that has warnings only, and against JSON that scripts cannot parse.
func TestCheckManifest(t *testing.T) {
	const good = `{"version":3,"routes":[{"name":"q","host":"h","prefix":"/a/","service":"s","attempts":2}],"services":[{"name":"s"}]`
	clean := writeFile(t, good+"}")
	warning := writeFile(t, good+`,"tenants":[{"name":"t","cap":{"cpu":1}}]}`)
	wrong := writeFile(t, good+`,"tenants":[{"name":"t","apiKeys":["k"],"weight":0}]}`)
	for _, c := range []struct {
		arguments []string
		code      int
		output    string
	}{
		{[]string{clean}, ExitDone, clean + ": no findings\n"},
		{[]string{clean, "--output", "json"}, ExitDone, "[]\n"},
		{[]string{warning}, ExitDone, warning + ":1:128: warning: organisation \"t\": it has no key and can submit nothing\n"},
		{[]string{warning, "--job", "../examples/job.toml"}, ExitDone, "warning: job ../examples/job.toml: step 0"},
		{[]string{wrong}, ExitFindings, ":1:165: error: "},
		{[]string{clean, "--against", clean}, ExitFindings, "version 3 is not higher than version 3"},
		{[]string{clean, "--against", clean + ".missing"}, ExitUsage, ""},
		{[]string{clean, "--against", clean, "--store", "127.0.0.1:1"}, ExitUsage, ""},
		{[]string{clean + ".missing"}, ExitUsage, ""},
		{[]string{clean, "--output", "toml"}, ExitUsage, ""},
		{nil, ExitUsage, ""},
		// Port 1 of the loopback address refuses connections.
		{[]string{clean, "--store", "127.0.0.1:1"}, ExitUnreachable, ""},
	} {
		code, out, stderr := run(t, "", append([]string{"job", "check-manifest"}, c.arguments...)...)
		if code != c.code || !strings.Contains(out, c.output) || (code != ExitDone) != (stderr != "") {
			t.Errorf("%q: %d, %s, %s; want %d and %s", c.arguments, code, out, stderr, c.code, c.output)
		}
	}
	code, out, _ := run(t, "", "job", "check-manifest", wrong, "--output", "json")
	var list []manifestcheck.Finding
	if err := json.Unmarshal([]byte(out), &list); code != ExitFindings || err != nil || len(list) != 1 {
		t.Fatalf("%d, %s, %v", code, out, err)
	}
	if f := list[0]; f.File != wrong || f.Line != 1 || f.Column != 165 || f.Severity != manifestcheck.Error || f.Message == "" {
		t.Errorf("finding %+v", f)
	}
}
