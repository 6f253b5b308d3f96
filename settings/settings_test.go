package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const minimal = `id = "a"
region = "r"
availability_zone = "z"
platform_url = "http://127.0.0.1:7070"
`

// Guards against settings that are required although they have a default.
func TestMinimalFileHasDefaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(file, []byte(minimal), 0o600); err != nil {
		t.Fatal(err)
	}
	s, found := Load(file)
	if len(found) > 0 {
		t.Fatal(found)
	}
	if s.PeerAddress != "127.0.0.1:8100" || s.ShutdownLoadBalancerWait().Seconds() != 3 || s.RetryBudgetRatio != 0.1 ||
		s.Limits.DefaultDeadline().Seconds() != 30 || s.Tracing.Exporter != ExporterNone {
		t.Fatalf("defaults are %+v", s)
	}
	if _, found := Load(file + ".missing"); len(found) != 1 {
		t.Fatalf("a missing file gives %v", found)
	}
}

// Guards against findings that are missing, have a wrong position, or are reported
// only one at a time.
func TestFindings(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"empty", "", `
s:1:1: availability_zone is missing
s:1:1: id is missing
s:1:1: platform_url is missing
s:1:1: region is missing`},
		{"syntax", "id = \n", `s:1:6: unexpected character U+000A at start of value`},
		{"unknown and wrong types", minimal + "colour = 1\nseed_peers = [1]\n[limits]\nmax_body_bytes = 1.5\n[tls.callers]\nx = 1", `
s:5:1: unknown field colour
s:6:15: seed_peers[0] must be a string, not an integer
s:8:1: limits.max_body_bytes must be an integer, not a float
s:9:6: unknown field tls.callers`},
		{"names", "id = \"-\"\nregion = \"a b\"\navailability_zone = \"z\"\nplatform_url = \"127.0.0.1:80\"", `
s:1:1: id "-" must consist of 1 to 63 letters, digits, dots, hyphens or underscores, and start and end with a letter or digit
s:2:1: region "a b" must consist of 1 to 63 letters, digits, dots, hyphens or underscores, and start and end with a letter or digit
s:4:1: platform_url "127.0.0.1:80" is not an http or https URL`},
		{"addresses", minimal + `caller_listen = "localhost:80"
operator_listen = "127.0.0.1:80"
peer_listen = "127.0.0.1:80"
peer_address = "0.0.0.0:80"
seed_peers = ["10.0.0.1:80", "10.0.0.2"]`, `
s:5:1: caller_listen "localhost:80" is not an IP address and port
s:7:1: peer_listen is 127.0.0.1:80, the same as operator_listen; each listener needs its own address
s:8:1: peer_address "0.0.0.0:80" must have the IP address and port that others connect to
s:9:30: seed_peers[1] "10.0.0.2" is not an IP address and port`},
		{"exposed listeners", minimal + `caller_listen = ":8080"
operator_listen = "10.0.0.1:8090"
peer_listen = "[::]:8100"
tls.peer.certificate_file = "c"
tls.peer.key_file = "k"`, `
s:5:1: caller_listen :8080 is not on loopback and has no TLS; set allow_plain_listeners = true to permit this
s:6:1: operator_listen 10.0.0.1:8090 is not on loopback and has no TLS; set allow_plain_listeners = true to permit this
s:6:1: operator_listen 10.0.0.1:8090 is not on loopback and has no operator_token_file; set allow_plain_listeners = true to permit this
s:7:1: peer_address is missing; it is required because other entry VMs cannot reach peer_listen [::]:8100
s:7:1: peer_listen [::]:8100 is not on loopback and has no TLS with a ca_file; set allow_plain_listeners = true to permit this`},
		{"exposed listeners with permission", minimal + "caller_listen = \":8080\"\npeer_listen = \"10.0.0.1:8100\"\nallow_plain_listeners = true", ""},
		{"numbers", minimal + `shutdown_load_balancer_wait_seconds = -1
retry_budget_ratio = nan
log_level = "loud"
[limits]
max_header_bytes = 1
max_body_bytes = -1
default_deadline_seconds = 1e9
[policy]
waiting_weight = 0
buffer_weight = 0`, `
s:5:1: shutdown_load_balancer_wait_seconds is -1, must be from 0 to 600
s:6:1: retry_budget_ratio is NaN, must be from 0 to 1
s:7:1: log_level "loud" must be one of trace, debug, info, warn, error
s:9:1: limits.max_header_bytes is 1, must be from 4096 to 16777216
s:10:1: limits.max_body_bytes is -1, must be from 0 to 1073741824
s:11:1: limits.default_deadline_seconds is 1e+09, must be from 0.001 to 86400
s:13:1: policy.waiting_weight and policy.buffer_weight are both 0; at least one of them must be greater than 0`},
		{"tls and tracing", minimal + `[tls.caller]
certificate_file = "c"
[tls.operator]
key_file = "k"
[tls.peer]
ca_file = "a"
[tracing]
exporter = "otlp"`, `
s:5:6: tls.caller has a certificate_file but no key_file
s:7:6: tls.operator has a key_file but no certificate_file
s:9:6: tls.peer has a ca_file but no certificate_file and key_file
s:11:2: tracing.endpoint is missing for exporter "otlp"`},
		{"exporter", minimal + "tracing = {exporter = \"x\", endpoint = \"y\"}", `s:5:12: tracing.exporter "x" must be one of none, log, otlp`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, found := Parse("s", []byte(test.text))
			if got := found.Error(); got != strings.TrimSpace(test.want) {
				t.Errorf("findings are\n%s\nwant\n%s", got, test.want)
			}
			if (s == nil) != (len(found) > 0) {
				t.Errorf("settings %v returned together with findings", s)
			}
		})
	}
}

// Guards against a panic, and against a finding whose position is outside the
// text. The seed corpus is in testdata/fuzz.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		s, found := Parse("s", text)
		if (s == nil) != (len(found) > 0) {
			t.Fatalf("settings %v with findings %v", s, found)
		}
		lines := strings.Count(string(text), "\n") + 1
		for _, finding := range found {
			if finding.Position.Line > lines || finding.Message == "" {
				t.Fatalf("finding %q in a text of %d lines", finding, lines)
			}
		}
	})
}
