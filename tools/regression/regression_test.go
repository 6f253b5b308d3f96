package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const listed = `
[[deployment]]
file = "a.toml"
score = 0.9

[[deployment]]
file = "b.toml"
score = 0.7
`

// A deployment that fails the gate, or falls by more than the bench's noise, must
// not go unnoticed, nor must a bench that prints no score.
func TestRegression(t *testing.T) {
	list := filepath.Join(t.TempDir(), "list.toml")
	if err := os.WriteFile(list, []byte(listed), 0o600); err != nil {
		t.Fatal(err)
	}
	const good = "2 days, 2 at a time\nquick estimate on the standard days of b (set 12ab): 0.75, +0.05 against snapshot 1\nGATE passed on the days played\n"
	for _, c := range []struct {
		name, output, want string
	}{
		{"held within the noise", "quick estimate on the standard days of a (set 12ab): 0.871\nGATE passed\n", ""},
		{"fallen", "quick estimate on the standard days of a (set 12ab): 0.869, -0.2 against snapshot 1\nGATE passed\n", "a.toml: score fell"},
		{"gate", "score on the standard days of a (set 12ab): 0.950\nGATE failed: trouble-1\n", "a.toml: gate failed"},
		{"no score", "the build failed\n", "no score"},
	} {
		var out strings.Builder
		err := run(context.Background(), options{list: list}, &out, func(_ context.Context, file string) ([]byte, error) {
			if file == "a.toml" {
				return []byte(c.output), nil
			}
			return []byte(good), nil
		})
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q; printed\n%s", c.name, err, c.want, out.String())
		}
	}
}

// A bench that cannot be started must end the run.
func TestRegressionWithoutBench(t *testing.T) {
	o := options{list: "../../deploy/regression.toml", bench: "./no-such-bench"}
	if err := run(context.Background(), o, &strings.Builder{}, o.play); err == nil || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want that the file does not exist", err)
	}
}
