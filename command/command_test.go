package command

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/operator"
	"dotterelhead.example/dotterelhead/replica"
)

// memoryStore is a store in memory that never fails.
type memoryStore struct {
	infrastructure.Store
	mu   sync.Mutex
	keys map[string]infrastructure.KeyValue
}

func (s *memoryStore) Get(_ context.Context, key string) (infrastructure.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, ok := s.keys[key]
	if !ok {
		return kv, infrastructure.ErrNotFound
	}
	return kv, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expected int64, _ string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key].Version != expected {
		return 0, infrastructure.ErrConflict
	}
	s.keys[key] = infrastructure.KeyValue{Key: key, Version: expected + 1, Value: value}
	return expected + 1, nil
}

// downStore fails every read as if the store were down.
type downStore struct{ infrastructure.Store }

func (downStore) Get(context.Context, string) (infrastructure.KeyValue, error) {
	return infrastructure.KeyValue{}, infrastructure.ErrUnavailable
}

func newHandler(authorize func(*http.Request) bool) http.Handler {
	return operator.NewHandler(operator.Options{
		Store: &memoryStore{keys: map[string]infrastructure.KeyValue{}}, Replica: replica.New(), Region: "r", Authorize: authorize,
	})
}

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// run runs the tool and returns its exit code and output.
func run(t *testing.T, operators string, arguments ...string) (int, string, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Run(t.Context(), Options{
		Arguments: arguments, Stdout: &stdout, Stderr: &stderr,
		Getenv: func(name string) string {
			if name == operatorVariable {
				return operators
			}
			return ""
		},
	})
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

const exampleNote = "../examples/etikettwerk.toml"

// Guards against output of `show` that scripts cannot parse, and against commands
// that fail with the real handler of the operator API.
func TestPublishAndReadBack(t *testing.T) {
	address := serve(t, newHandler(nil))
	for _, want := range []string{"accepted as revision 1\n", "accepted before as revision 1\n"} {
		if code, out, err := run(t, address, "publish", exampleNote); code != ExitDone || out != want {
			t.Fatalf("publish: %d, %q, %s", code, out, err)
		}
	}
	for _, format := range []string{"json", "toml", "text"} {
		code, out, stderr := run(t, strings.TrimPrefix(address, "http://"), "show", "--output", format)
		if code != ExitDone || !strings.Contains(out, "plotter-runs") {
			t.Fatalf("show %s: %d, %s%s", format, code, out, stderr)
		}
		var config struct {
			Revision               int
			Pools, Services, Waves []struct{ Name string }
		}
		var err error
		switch format {
		case "json":
			err = json.Unmarshal([]byte(out), &config)
		case "toml":
			err = toml.Unmarshal([]byte(out), &config)
		case "text":
			continue
		}
		if err != nil || config.Revision != 1 || len(config.Pools) != 6 || len(config.Services) != 5 ||
			config.Waves == nil || config.Pools[0].Name != "artwork" {
			t.Errorf("show %s: %v, %+v", format, err, config)
		}
	}
	if code, out, err := run(t, address, "history"); code != ExitDone || !strings.Contains(out, "first configuration") {
		t.Errorf("history: %d, %s%s", code, out, err)
	}
	if code, out, err := run(t, address, "status"); code != ExitDone || !strings.Contains(out, "region r, revision 1") {
		t.Errorf("status: %d, %s%s", code, out, err)
	}
}

func isOperator(r *http.Request) bool { return r.Header.Get("Authorization") == "Bearer secret" }

// Guards against exit codes and positions of findings that differ from section 8
// of the design page.
func TestExitCodes(t *testing.T) {
	live := serve(t, newHandler(nil))
	if code, _, err := run(t, live, "publish", exampleNote); code != ExitDone {
		t.Fatal(err)
	}
	authenticated := serve(t, newHandler(isOperator))
	otherServer := serve(t, http.NotFoundHandler())
	storeDown := serve(t, operator.NewHandler(operator.Options{Store: downStore{}, Replica: replica.New()}))
	stopped := httptest.NewServer(nil)
	stopped.Close()
	token := writeFile(t, "secret\n")
	invalid := writeFile(t, "[note]\nname = \"n\"\nbase = 0\ncolour = 1\n[[team.add]]\nname = \"T\"\n")
	conflicting := writeFile(t, "[note]\nname = \"n\"\nbase = 0\n[[pool.add]]\nname = \"artwork\"\n")
	large := writeFile(t, strings.Repeat("#", 2<<20))
	tests := []struct {
		name, operators string
		arguments       []string
		code            int
		output          string
	}{
		{"check passes", stopped.URL, []string{"check", exampleNote}, ExitDone, "no findings"},
		{"check reports findings", "", []string{"check", invalid}, ExitFindings, invalid + ":4:1: unknown field note.colour\n" + invalid + ":6:1: team name"},
		{"check without a file", "", []string{"check", invalid + "x"}, ExitUsage, "no such file"},
		{"no command", "", nil, ExitUsage, "a command is missing"},
		{"unknown command", "", []string{"polish"}, ExitUsage, "unknown command"},
		{"unknown flag", "", []string{"show", "--colour"}, ExitUsage, "unknown flag"},
		{"missing argument", "", []string{"publish"}, ExitUsage, "accepts 1 arg"},
		{"unknown format", live, []string{"show", "--output", "yaml"}, ExitUsage, "not one of text, json, toml"},
		{"bad address", "", []string{"show", "--operator", "ftp://x"}, ExitUsage, "--operator ftp://x"},
		{"bad limit", live, []string{"history", "--limit", "1000"}, ExitUsage, "bad query"},
		{"help", "", []string{"--help"}, ExitDone, "Exit codes"},
		{"published findings", live, []string{"publish", invalid}, ExitFindings, invalid + ":4:1: unknown field note.colour"},
		{"conflict", live, []string{"publish", conflicting}, ExitFindings, conflicting + ":5:1: pool \"artwork\" exists: revision 1 touched it"},
		{"check of a large file", "", []string{"check", large}, ExitFindings, "more than 983040"},
		{"too large", live, []string{"publish", large}, ExitFindings, "bytes"},
		{"nobody listens", stopped.URL, []string{"publish", exampleNote}, ExitUnreachable, "no entry VM could be reached"},
		{"store down", storeDown, []string{"show"}, ExitUnreachable, "no entry VM could be reached: " + storeDown + ": the store could not be reached"},
		{"another server", otherServer, []string{"show"}, ExitUnreachable, "unexpected response 404"},
		{"the next entry VM answers", stopped.URL + ", " + live, []string{"show"}, ExitDone, "revision 1"},
		{"flag before environment", stopped.URL, []string{"show", "--operator", stopped.URL, "--operator", live}, ExitDone, "revision 1"},
		{"no token", authenticated, []string{"show"}, ExitUsage, "token"},
		{"token", authenticated, []string{"show", "--token-file", token}, ExitDone, "revision 0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := run(t, test.operators, test.arguments...)
			if code != test.code || !strings.Contains(stdout+stderr, test.output) {
				t.Errorf("exit code %d, want %d; output %q", code, test.code, stdout+stderr)
			}
		})
	}
}

// Guards against a second revision of the same note if the first entry VM
// publishes it but its response is lost, and against an error that claims a known
// outcome if no entry VM responds.
func TestPublishAfterLostResponse(t *testing.T) {
	handler := newHandler(nil)
	var calls atomic.Int32
	dropsResponse := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	if code, _, err := run(t, dropsResponse, "publish", exampleNote); code != ExitUnreachable || !strings.Contains(err, "outcome is not known") {
		t.Errorf("lost response: %d, %s", code, err)
	}
	code, out, err := run(t, dropsResponse+","+serve(t, handler), "publish", exampleNote)
	if code != ExitDone || out != "accepted before as revision 1\n" || calls.Load() < 2 {
		t.Errorf("next entry VM: %d, %s%s", code, out, err)
	}
}

// Guards against requests to a server whose certificate was not verified, as they
// may carry the operator token.
func TestServerCertificateIsVerified(t *testing.T) {
	server := httptest.NewTLSServer(newHandler(nil))
	defer server.Close()
	ca := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	address := strings.TrimPrefix(server.URL, "https://")
	if code, _, err := run(t, address, "show", "--ca", ca); code != ExitDone {
		t.Errorf("with the CA: %d, %s", code, err)
	}
	if code, _, err := run(t, server.URL, "show"); code != ExitUnreachable {
		t.Errorf("without the CA: %d, %s", code, err)
	}
	if code, _, _ := run(t, address, "show", "--ca", writeFile(t, "x")); code != ExitUsage {
		t.Errorf("without a certificate in the CA file: %d", code)
	}
}
