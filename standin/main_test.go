package standin

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// A fixed seed gives the same verdict in every run.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.shrinktime": "5s", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	goleak.VerifyTestMain(m)
}
