package note

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"dotterelhead.example/dotterelhead/findings"
)

// Guards against findings that are missing, misplaced or reported twice, and
// against notes that are wrongly accepted or refused. Commands: parse checks a
// note, apply applies it to the configuration so far, reset empties the
// configuration.
func TestNotes(t *testing.T) {
	datadriven.Walk(t, "testdata/notes", func(t *testing.T, path string) {
		var config Config
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "reset" {
				config = Config{}
				return ""
			}
			n, found := Parse("n", []byte(d.Input))
			if n != nil && d.Cmd == "apply" {
				before := string(config.Encode())
				var next Config
				next, found = Apply(config, n)
				if after := string(config.Encode()); after != before {
					t.Fatalf("Apply changed its input from %s to %s", before, after)
				}
				config = next
			}
			if len(found) > 0 {
				return formatFindings(found)
			}
			if d.Cmd == "parse" {
				return "ok"
			}
			return formatConfig(config)
		})
	})
}

func formatFindings(list findings.List) string {
	var b strings.Builder
	for _, f := range list {
		if f.Conflict {
			b.WriteString("conflict ")
		}
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// formatConfig prints each item on its own line.
func formatConfig(c Config) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d\n", c.Revision)
	for _, p := range c.Pools {
		writeItem(&b, "pool", p)
	}
	for _, s := range c.Services {
		writeItem(&b, "service", s)
	}
	for _, w := range c.Waves {
		writeItem(&b, "wave", w)
	}
	for _, t := range c.Teams {
		writeItem(&b, "team", t)
	}
	return b.String()
}

func writeItem(b *strings.Builder, kind string, item any) {
	text, _ := json.Marshal(item)
	fmt.Fprintf(b, "%s %s\n", kind, text)
}
