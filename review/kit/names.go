package kit

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// Names are the names of the users' protocol that the stand-ins speak. They stand in a file
// of their own, because Go code outside of the adapter holds none of them
// (platform.TestOnlyTheAdapterUsesThePlatformsNames).
var Names = readNames()

type names struct {
	// Paths.
	Start, Stop, Hold, Pace, Machines, Upkeep, Advise string
	// Headers.
	Instance, Holder, Fence string
	// Keys and prefixes of the store.
	Registry, Manifest, Wave string
	// Fields.
	Deadline, Token, Seen, Target, Admission string
}

func readNames() names {
	var n names
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic("names.json: " + err.Error())
	}
	return n
}
