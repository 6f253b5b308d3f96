// Package examples checks the example files.
package examples

import (
	"os"
	"testing"

	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/settings"
)

// Guards against example files that the programs refuse or that differ from
// the sizes of section 1.3 of the design page.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"etikettwerk", "mas-trunk"} {
		if _, found := settings.Load(deployment + "-entry.toml"); len(found) > 0 {
			t.Error(found)
		}
		text, err := os.ReadFile(deployment + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		n, found := note.Parse(deployment+".toml", text)
		if len(found) > 0 {
			t.Fatal(found)
		}
		config, found := note.Apply(note.Config{}, n)
		if len(found) > 0 {
			t.Fatal(found)
		}
		workers, spare := 0, 0
		for _, p := range config.Pools {
			if p.Spare {
				spare += len(p.VMs)
			} else {
				workers += len(p.VMs)
			}
		}
		if len(config.Services) != 5 || workers != 42 || spare != 8 {
			t.Errorf("%s: %d services, %d workers, %d spare", deployment, len(config.Services), workers, spare)
		}
	}
}
