package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the names of the users' protocol that the stand-ins speak. They stand in a file of
// their own, because Go code outside of the adapter holds none of them
// (platform.TestOnlyTheAdapterUsesThePlatformsNames).
var names = readNames()

type protocolNames struct {
	// Paths of the store, and a field of its responses.
	StoreKey, StoreRange, StoreWatch, StoreTransaction, StoreGrant, StoreKeep, StoreEnd, StoreRevision string
	// Paths of the workers, of the machines and of the readiness check.
	Start, Stop, Hold, Pace, Machines, Upkeep, Move, Ready string
	// Headers.
	Instance, Holder, Fence string
	// Keys and prefixes of the store.
	Operator, Registry, Manifest, Wave string
	// Fields of orders and of the manifest.
	Deadline, Token, Seen, Target, Admission string
}

func readNames() protocolNames {
	var n protocolNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic("names.json: " + err.Error())
	}
	return n
}
