package member

import "siskinswitch.example/siskin/pkg/clock"

// Bounds of the lists in a [Part]. A longer list is cut by the receiver.
const (
	// MaxRecords bounds the records of one message.
	MaxRecords = 1024
	// MaxContacts bounds the contacts of one message.
	MaxContacts = 64
	// Buckets is the number of groups that a view's digest is made of.
	Buckets = 32
)

// Kind is the type of a probe message.
type Kind uint8

// Kinds of probe message.
const (
	// Ping asks the receiver for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping or an Ask.
	Ack
	// PingRequest requests that the receiver pings Target and acknowledges for it.
	PingRequest
)

// Probe is one step of a liveness check.
type Probe struct {
	Kind Kind   `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
	Host string `cbor:"3,keyasint,omitempty"`
}

// Contact says how long ago the sender's data centre last had contact with
// another one. Ages are durations, so the clocks of hosts need not agree.
type Contact struct {
	Centre string      `cbor:"1,keyasint"`
	Age    clock.Milli `cbor:"2,keyasint"`
}

// Part is the share of a control message that belongs to membership. All of
// its fields are optional.
type Part struct {
	Probe *Probe `cbor:"1,keyasint,omitempty"`
	// Root is the digest of the sender's view.
	Root uint64 `cbor:"2,keyasint,omitempty"`
	// Digests are those of the view's buckets, sent where the roots differ.
	Digests []uint32 `cbor:"3,keyasint,omitempty"`
	// Pull names the buckets whose records the sender asks for.
	Pull     []uint8   `cbor:"4,keyasint,omitempty"`
	Records  []Record  `cbor:"5,keyasint,omitempty"`
	Contacts []Contact `cbor:"6,keyasint,omitempty"`
}
