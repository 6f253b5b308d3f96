package replica

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a version that decreases when documents arrive late, twice or
// out of order.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		highest := map[string]int64{}
		r.Subscribe(func(doc Document) {
			if doc.Version <= highest[doc.Key] {
				t.Fatalf("subscriber saw %s at %d after %d", doc.Key, doc.Version, highest[doc.Key])
			}
		})
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			doc := Document{
				Key:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
				Version: rapid.Int64Range(1, 9).Draw(t, "version"),
			}
			r.Apply(doc)
			highest[doc.Key] = max(highest[doc.Key], doc.Version)
			if held, _ := r.Get(doc.Key); held.Version != highest[doc.Key] {
				t.Fatalf("%s holds %d, want %d", doc.Key, held.Version, highest[doc.Key])
			}
		}
		if newer := r.Newer(highest); len(newer) != 0 {
			t.Fatalf("got documents %v, want none newer than the latest versions", newer)
		}
	})
}
