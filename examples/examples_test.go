package examples

import (
	"os"
	"strings"
	"testing"

	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/settings"
)

// Guards against example files that the programs reject, and against numbers of
// services, workers and spare VMs that differ from section 1.3 of the design
// page.
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
		checkDocumented(t, deployment, config)
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

// checkDocumented applies in order the notes that docs/OPERATIONS.md shows for a
// deployment, and reports those that have findings.
func checkDocumented(t *testing.T, deployment string, config note.Config) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "`examples/"+deployment+".toml` is the first note.")
	section, _, _ = strings.Cut(section, "\n#")
	blocks := strings.Split(section, "```toml\n")[1:]
	if len(blocks) == 0 {
		t.Errorf("docs/OPERATIONS.md has no notes for %s", deployment)
	}
	for _, block := range blocks {
		text, _, _ := strings.Cut(block, "```")
		n, found := note.Parse("docs/OPERATIONS.md", []byte(text))
		if len(found) == 0 {
			config, found = note.Apply(config, n)
		}
		if len(found) > 0 {
			t.Errorf("%v\n%s", found, text)
		}
	}
}
