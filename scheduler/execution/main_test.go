package execution

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes CI give the same result on each run; flags override it.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}
