// Package sample embeds the example documents of this directory, for programs and
// tests that need one without reading a file.
package sample

import _ "embed" // For the go:embed directives below.

// Xaalis is the inventory and rules of a shared pocket-money platform.
//
//go:embed xaalis.json
var Xaalis []byte

// Armor is the inventory and rules of a store of spare parts.
//
//go:embed armor.json
var Armor []byte

// Large is a generated inventory and rules of 780 instances in 20 services.
//
//go:embed large.json
var Large []byte

// RegisterXaalis is an export of the asset register of Xaalis with all columns.
//
//go:embed register-xaalis.csv
var RegisterXaalis []byte

// RegisterArmor is an export of the asset register of Armor without asset numbers,
// ports, slots and connections.
//
//go:embed register-armor.json
var RegisterArmor []byte

// RegisterFaulty is an export of an asset register with six rows that an import
// refuses.
//
//go:embed register-faulty.csv
var RegisterFaulty []byte
