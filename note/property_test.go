package note

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes CI runs repeatable.
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func mustParse(t rapid.TB, text string) *Note {
	n, found := Parse("n", []byte(text))
	if len(found) > 0 {
		t.Fatalf("%v\n%s", found, text)
	}
	return n
}

// drawNote draws a well-formed note about up to three pools, six VMs, one
// service and one wave. Notes drawn in a row often conflict.
func drawNote(t *rapid.T, number int, base int64) *Note {
	var b strings.Builder
	fmt.Fprintf(&b, "[note]\nname = \"note %d\"\nbase = %d\n", number, base)
	free := rapid.Permutation([]string{"v1", "v2", "v3", "v4", "v5", "v6"}).Draw(t, "vms")
	take := func(label string) string {
		n := rapid.IntRange(0, min(3, len(free))).Draw(t, label)
		list := fmt.Sprintf("%q", free[:n])
		free = free[n:]
		return strings.ReplaceAll(list, " ", ", ")
	}
	pool := rapid.SampledFrom([]string{"p1", "p2", "p3"})
	entries := 0
	for _, name := range []string{"p1", "p2", "p3"} {
		switch rapid.IntRange(0, 5).Draw(t, name) {
		case 0, 1:
			fmt.Fprintf(&b, "[[pool.add]]\nname = %q\nvms = %s\n", name, take("add"))
		case 2:
			fmt.Fprintf(&b, "[[pool.change]]\nname = %q\nvms = %s\nminimum_vms = 0\n", name, take("replace"))
		case 3:
			fmt.Fprintf(&b, "[[pool.change]]\nname = %q\nadd_vms = %s\nremove_vms = [\"v1\"]\n", name, take("change"))
		case 4:
			fmt.Fprintf(&b, "[[pool.withdraw]]\nname = %q\n", name)
		default:
			entries--
		}
		entries++
	}
	if rapid.Bool().Draw(t, "service") {
		fmt.Fprintf(&b, "[[service.%s]]\nname = \"s\"\npool = %q\nmax_unavailable = %d\n",
			rapid.SampledFrom([]string{"add", "change"}).Draw(t, "verb"), pool.Draw(t, "pool"), rapid.IntRange(0, 1).Draw(t, "budget"))
		entries++
	}
	if entries == 0 || rapid.Bool().Draw(t, "wave") {
		fmt.Fprintf(&b, "[[wave.%s]]\nname = \"w\"\npools = [%q]\n", rapid.SampledFrom([]string{"add", "change"}).Draw(t, "verb"), pool.Draw(t, "pool"))
	}
	return mustParse(t, b.String())
}

// Guards against a revision that is skipped or goes back, a VM in two pools,
// references to items that do not exist, and waves that can never finish.
func TestApplyKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var config Config
		for i := range rapid.IntRange(1, 30).Draw(t, "notes") {
			base := rapid.Int64Range(max(config.Revision-2, 0), config.Revision).Draw(t, "base")
			n := drawNote(t, i, base)
			next, found := Apply(config, n)
			if len(found) > 0 && string(next.Encode()) != string(config.Encode()) {
				t.Fatalf("a refused note changed the configuration: %v", found)
			}
			if len(found) == 0 && next.Revision != config.Revision+1 {
				t.Fatalf("revision %d follows %d", next.Revision, config.Revision)
			}
			if len(found) == 0 && base == config.Revision && found.Conflict() {
				t.Fatalf("a note on the revision in force conflicts: %v", found)
			}
			config = next
			checkConsistent(t, config)
		}
	})
}

func checkConsistent(t *rapid.T, c Config) {
	in := map[string]string{}
	for _, p := range c.Pools {
		for _, vm := range p.VMs {
			if other, ok := in[vm]; ok {
				t.Fatalf("VM %s is in pools %s and %s", vm, other, p.Name)
			}
			in[vm] = p.Name
		}
	}
	for _, s := range c.Services {
		if _, ok := c.Pool(s.Pool); !ok {
			t.Fatalf("service %s has no pool %s", s.Name, s.Pool)
		}
	}
	for _, w := range c.Waves {
		for _, name := range w.Pools {
			p, ok := c.Pool(name)
			if !ok || len(p.VMs) > 0 && p.MinimumVMs >= len(p.VMs) {
				t.Fatalf("wave %s cannot finish pool %s", w.Name, name)
			}
			for _, s := range c.Services {
				if s.Pool == name && s.MaxUnavailable == 0 && len(p.VMs) > 0 {
					t.Fatalf("wave %s cannot finish service %s", w.Name, s.Name)
				}
			}
		}
	}
	if len(c.RecentNotes) > MaxRecentNotes {
		t.Fatalf("%d identifiers are kept", len(c.RecentNotes))
	}
}

// Guards against notes that are refused although nothing that they touch has
// changed since their base, and against lost updates when it has.
func TestConflictsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var first strings.Builder
		first.WriteString("[note]\nname = \"first\"\nbase = 0\n")
		for i := range 6 {
			fmt.Fprintf(&first, "[[team.add]]\nname = \"t%d\"\n", i)
		}
		config, found := Apply(Config{}, mustParse(t, first.String()))
		if len(found) > 0 {
			t.Fatal(found)
		}
		touched := map[int]int64{}
		for i := range rapid.IntRange(1, 12).Draw(t, "notes") {
			base := rapid.Int64Range(1, config.Revision).Draw(t, "base")
			items := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 3, rapid.ID[int]).Draw(t, "items")
			text := fmt.Sprintf("[note]\nname = \"n\"\nbase = %d\n", base)
			conflicts := 0
			for _, item := range items {
				text += fmt.Sprintf("[[team.change]]\nname = \"t%d\"\nslot_quota = %d\n", item, i+1)
				if touched[item] > base {
					conflicts++
				}
			}
			next, found := Apply(config, mustParse(t, text))
			if len(found) != conflicts || conflicts > 0 != found.Conflict() {
				t.Fatalf("expected %d conflicts, got %v", conflicts, found)
			}
			if conflicts == 0 {
				for _, item := range items {
					touched[item] = next.Revision
				}
			}
			config = next
		}
	})
}
