package note

import "testing"

// Guards against a panic, a finding positioned outside the text, and a skipped
// revision, whatever text an operator publishes. The seed corpus is in
// testdata/fuzz.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		n, found := Parse("n", text)
		if (n == nil) != (len(found) > 0) {
			t.Fatalf("note %v with findings %v", n, found)
		}
		lines := 1
		for _, b := range text {
			if b == '\n' {
				lines++
			}
		}
		for _, finding := range found {
			if finding.Position.Line > lines || finding.Message == "" {
				t.Fatalf("finding %q in a text of %d lines", finding, lines)
			}
		}
		if n == nil {
			return
		}
		config, found := Apply(Config{Revision: n.Base}, n)
		if len(found) == 0 && config.Revision != n.Base+1 {
			t.Fatalf("revision %d follows %d", config.Revision, n.Base)
		}
	})
}
