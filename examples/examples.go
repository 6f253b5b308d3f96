// Package examples embeds the example notes for dotterelheadd dev.
package examples

import _ "embed"

// Etikettwerk is the first release note of Etikettwerk Niederalm.
//
//go:embed etikettwerk.toml
var Etikettwerk []byte

// MasTrunk is the first release note of Mas Trunk Costume Lending.
//
//go:embed mas-trunk.toml
var MasTrunk []byte
