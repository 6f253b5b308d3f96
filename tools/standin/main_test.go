package main

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin"
)

// Guards against a fault that the help does not mention or that no flag sets.
func TestHelpNamesEveryFault(t *testing.T) {
	for _, c := range []struct {
		command *cobra.Command
		faults  any
	}{
		{platformCommand(), standin.PlatformFaults{}},
		{backendCommand(), standin.BackendFaults{}},
	} {
		fields := reflect.TypeOf(c.faults)
		for i := range fields.NumField() {
			name := fields.Field(i).Tag.Get("json")
			if !strings.Contains(c.command.Long, name) {
				t.Errorf("%s --help does not name %s", c.command.Name(), name)
			}
			if flag := strings.ReplaceAll(name, "_", "-"); c.command.Flags().Lookup(flag) == nil {
				t.Errorf("%s has no flag --%s", c.command.Name(), flag)
			}
		}
	}
}

// Guards against VMs that are parsed incorrectly from a flag or a file.
func TestParseVMs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "vms")
	if err := os.WriteFile(file, []byte(`[{"id":"a","address":"127.0.0.1:1","rack":"r1"}]`), 0o600); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]infrastructure.VM{
		"id=e1,address=127.0.0.1:2,zone=z1,rack=r2,entry=true": {
			ID: "e1", Address: "127.0.0.1:2", AvailabilityZone: "z1", Rack: "r2", State: infrastructure.VMLive, EntryVM: true,
		},
		file: {ID: "a", Address: "127.0.0.1:1", Rack: "r1"},
	} {
		if vms, err := parseVMs(text); err != nil || len(vms) != 1 || vms[0] != want {
			t.Errorf("%s gives %+v, error %v", text, vms, err)
		}
	}
	for _, text := range []string{"id=a,colour=red", "zone=z1", "absent.json"} {
		if _, err := parseVMs(text); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}
