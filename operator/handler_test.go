package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/replica"
	"dotterelhead.example/dotterelhead/tlsconfig"
)

const poolNote = `[note]
name = "first"
base = 0
[[pool.add]]
name = "p"
vms = ["v1", "v2", "v3"]
[[pool.add]]
name = "spare"
spare = true
vms = ["s1"]
[[service.add]]
name = "s"
pool = "p"
[[wave.add]]
name = "w"
pools = ["p"]
`

// entry is the operator API of an entry VM with a fake store.
type entry struct {
	http.Handler
	store   *fakeStore
	replica *replica.Replica
	ready   bool
}

func newEntry(t *testing.T, store *fakeStore) *entry {
	t.Helper()
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tokens, err := tlsconfig.NewTokens(tlsconfig.TokenOptions{File: file})
	if err != nil {
		t.Fatal(err)
	}
	e := &entry{store: store, replica: replica.New(), ready: true}
	e.Handler = NewHandler(Options{
		Store: store, Replica: e.replica, Region: "r",
		Publisher: NewPublisher(PublisherOptions{Store: store, Replica: e.replica, Timeout: 50 * time.Millisecond}),
		Ready:     func() bool { return e.ready },
		Status:    func() any { return map[string]int{"queued": 3} },
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintln(w, "metric 1")
		}),
		Authorize: tokens.Allowed,
	})
	return e
}

// do sends a request with the token and checks the status and the media type.
func (e *entry) do(t *testing.T, method, path, body string, status int, answer any) {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	if w.Code != status {
		t.Fatalf("%s %s: status %d, want %d: %s", method, path, w.Code, status, w.Body)
	}
	if media := w.Header().Get("Content-Type"); status >= 400 && answer != nil && media != "application/problem+json" {
		t.Fatalf("%s %s: media type %q", method, path, media)
	}
	if answer != nil {
		if err := json.Unmarshal(w.Body.Bytes(), answer); err != nil {
			t.Fatalf("%s %s: %v in %s", method, path, err, w.Body)
		}
	}
}

// Guards against answers from which an operator's tool would conclude the wrong
// outcome.
func TestPublishAnswers(t *testing.T) {
	e := newEntry(t, newFakeStore(nil))
	var published PublishResponse
	e.do(t, "POST", "/v1/notes", poolNote, http.StatusOK, &published)
	e.do(t, "POST", "/v1/notes", poolNote, http.StatusOK, &published)
	if published != (PublishResponse{Revision: 1, Repeated: true}) {
		t.Errorf("repeat: %+v", published)
	}
	var problem Problem
	e.do(t, "POST", "/v1/notes", "[note]\nname = \"n\"\nbase = 1\ncolour = 1", http.StatusUnprocessableEntity, &problem)
	if len(problem.Findings) != 2 || problem.Findings[1].Line != 4 || problem.Findings[1].Column != 1 || problem.Findings[1].Conflict {
		t.Errorf("errors: %+v", problem)
	}
	e.do(t, "POST", "/v1/notes", strings.Replace(poolNote, "first", "other", 1), http.StatusConflict, &problem)
	if problem.Type != problemConflict || len(problem.Findings) != 4 || !problem.Findings[0].Conflict {
		t.Errorf("conflict: %+v", problem)
	}
	e.do(t, "POST", "/v1/notes", strings.Repeat("#", note.MaxNoteBytes+1), http.StatusRequestEntityTooLarge, &problem)
	e.do(t, "PUT", "/v1/notes", "", http.StatusMethodNotAllowed, &problem)
	e.do(t, "GET", "/v1/other", "", http.StatusNotFound, &problem)
	e.store.startOutage()
	e.do(t, "POST", "/v1/notes", "[note]\nname = \"n\"\nbase = 1\n[[pool.withdraw]]\nname = \"x\"", http.StatusServiceUnavailable, &problem)
	if problem.Type != problemUnavailable {
		t.Errorf("outage: %+v", problem)
	}
}

// Guards against reads of the configuration that depend on the store, and against
// an entry VM without the configuration that reports revision 0.
func TestReadBackDuringOutage(t *testing.T) {
	store := newFakeStore(nil)
	e, uninformed := newEntry(t, store), newEntry(t, store)
	var config ConfigResponse
	e.do(t, "GET", "/v1/config", "", http.StatusOK, &config)
	if config.Revision != 0 || config.Pools == nil || config.Waves == nil {
		t.Errorf("empty configuration: %+v", config)
	}
	e.do(t, "POST", "/v1/notes", poolNote, http.StatusOK, nil)
	store.startOutage()
	e.do(t, "GET", "/v1/config", "", http.StatusOK, &config)
	if config.Revision != 1 || len(config.Pools) != 2 || config.Pools[0].Name != "p" || len(config.Services) != 1 || len(config.Waves) != 1 {
		t.Errorf("configuration: %+v", config)
	}
	var problem Problem
	uninformed.do(t, "GET", "/v1/config", "", http.StatusServiceUnavailable, &problem)
	uninformed.do(t, "GET", "/v1/status", "", http.StatusServiceUnavailable, &problem)
	e.do(t, "GET", "/v1/history", "", http.StatusServiceUnavailable, &problem)
	store.endFaults()
	uninformed.do(t, "GET", "/v1/config", "", http.StatusOK, &config)
	var history HistoryResponse
	e.do(t, "GET", "/v1/history?text=true", "", http.StatusOK, &history)
	if len(history.Notes) != 1 || history.Notes[0].Text != poolNote || history.Notes[0].PublishedAtUnixMillis == 0 {
		t.Errorf("history: %+v", history)
	}
	e.do(t, "GET", "/v1/history?limit=0", "", http.StatusBadRequest, &problem)
}

// Guards against a status that omits unavailable VMs.
func TestStatusJoinsFleetAndConfiguration(t *testing.T) {
	e := newEntry(t, newFakeStore(nil))
	e.do(t, "POST", "/v1/notes", poolNote, http.StatusOK, nil)
	document := fleet.Document{
		VMs: []fleet.VM{
			{ID: "v1", Pool: "p", HomePool: "p", Phase: fleet.Serving},
			{ID: "v2", Pool: "p", HomePool: "p", Phase: fleet.Rebooting, Purpose: fleet.PurposeMaintenance},
			{ID: "v3", Pool: "old", HomePool: "p", Phase: fleet.Down},
			{ID: "s1", Pool: "p", HomePool: "spare", Phase: fleet.Releasing, Purpose: fleet.PurposeMove},
		},
		Waves: []fleet.WaveProgress{{Name: "w", Done: []string{"v1"}, Paused: true, Reason: "budget"}},
	}
	e.replica.Apply(replica.Document{Key: fleet.DocumentKey("r"), Version: 7, Value: document.Encode()})
	var status StatusResponse
	e.do(t, "GET", "/v1/status", "", http.StatusOK, &status)
	if status.Revision != 1 || status.FleetVersion != 7 || len(status.VMs) != 4 || len(status.Pools) != 3 {
		t.Fatalf("status: %+v", status)
	}
	if want := (PoolStatus{Name: "p", ConfiguredVMs: 3, MinimumVMs: 1, VMs: 3, Serving: 1, Releasing: 1, Rebooting: 1, Borrowed: 1}); status.Pools[0] != want {
		t.Errorf("pool: %+v", status.Pools[0])
	}
	if want := (BudgetStatus{Service: "s", Pool: "p", MaxUnavailable: 1, Unavailable: 1}); status.Budgets[0] != want {
		t.Errorf("budget: %+v", status.Budgets[0])
	}
	if w := status.Waves[0]; w.VMs != 3 || w.Done != 1 || !w.Started || !w.Paused || w.Finished || w.Reason != "budget" {
		t.Errorf("wave: %+v", w)
	}
	if status.Entry == nil {
		t.Error("the entry VM's own state is missing")
	}
}

// Guards against API access without the token, and against health probes that
// require it.
func TestAuthorizationAndProbes(t *testing.T) {
	e := newEntry(t, newFakeStore(nil))
	e.ready = false
	tests := []struct {
		path, authorization string
		status              int
	}{
		{"/v1/config", "", http.StatusUnauthorized},
		{"/v1/config", "Bearer wrong", http.StatusUnauthorized},
		{"/v1/config", "Basic secret", http.StatusUnauthorized},
		{"/v1/config", "bearer secret", http.StatusOK},
		{"/metrics", "", http.StatusUnauthorized},
		{"/metrics", "Bearer secret", http.StatusOK},
		{"/healthz", "", http.StatusOK},
		{"/readyz", "", http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		r := httptest.NewRequest("GET", test.path, nil)
		r.Header.Set("Authorization", test.authorization)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		if w.Code != test.status {
			t.Errorf("%s with %q: status %d, want %d", test.path, test.authorization, w.Code, test.status)
		}
	}
}
