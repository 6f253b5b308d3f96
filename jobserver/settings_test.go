package jobserver

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `
node = "edge-1"
caller_listen = "127.0.0.1:1"
ready_listen = "127.0.0.1:2"
store_address = "127.0.0.1:3"
`

func loadText(t *testing.T, text string) (*Settings, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, found := LoadSettings(file)
	if err := found.Err(); err != nil {
		return s, err.Error()
	}
	return s, ""
}

func TestDefaultsFillWhatAFileLeavesOut(t *testing.T) {
	s, found := loadText(t, validSettings)
	if found != "" {
		t.Fatal(found)
	}
	if s.Bounds.MaxLeaseMs != 6000 || s.RunTimes != RunTimesLearned || s.LogLevel != "info" {
		t.Fatalf("defaults are missing: %+v", s)
	}
}

// The findings about an invalid settings file must name every error, so that an
// operator can fix the file in one go. The line is checked for the first.
func TestEveryFindingIsReported(t *testing.T) {
	_, found := loadText(t, `
node = ""
caller_listen = "nowhere"
ready_listen = "127.0.0.1:2"
store_address = "127.0.0.1:3"
log_level = "loud"
run_times = "guessed"
colour = "blue"
[bounds]
grace_seconds = 0
config_apply_ms = -1
`)
	for _, want := range []string{":2:", "caller_listen", "log_level", "run_times", "colour", "grace_seconds", "config_apply_ms"} {
		if !strings.Contains(found, want) {
			t.Errorf("findings do not mention %q:\n%s", want, found)
		}
	}
}

// A small entry VM that became the owner of 350 workers could not keep up with
// renewing their leases, so larger ones have to contend first.
func TestLargerEntryVMsContendFirst(t *testing.T) {
	large, middle, small := contendDelay(0.8), contendDelay(0.4), contendDelay(0.192)
	if large != 0 || middle <= large || small <= middle || contendDelay(0) != 0 {
		t.Errorf("delays %v, %v, %v for 0.8, 0.4 and 0.192 of a core", large, middle, small)
	}
}
