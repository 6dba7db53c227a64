package member

import "siskinswitch.example/siskin/pkg/clock"

// Limits of the lists in a [Part]. The receiver ignores the items beyond them.
const (
	// MaxRecords is the largest number of records in one message.
	MaxRecords = 1024
	// MaxContacts is the largest number of contacts in one message.
	MaxContacts = 64
	// Buckets is the number of groups into which hosts are hashed; a view has
	// one digest for each.
	Buckets = 32
)

// Kind is the type of a probe message.
type Kind uint8

// Kinds of probe message.
const (
	// Ping asks the receiver for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping or a PingRequest.
	Ack
	// PingRequest asks the receiver to ping Probe.Host and, if that host
	// answers, to send an Ack to the requester.
	PingRequest
)

// Probe is one message of a liveness check.
type Probe struct {
	Kind Kind `cbor:"1,keyasint"`
	// Seq is the number that the pinging host gave to the ping.
	Seq uint64 `cbor:"2,keyasint"`
	// Host is the host to ping, in a PingRequest.
	Host string `cbor:"3,keyasint,omitempty"`
}

// Contact is the time since any member of the sender's data centre had contact
// with another data centre. It is an age, not an instant, so the clocks of
// hosts need not agree.
type Contact struct {
	Centre string      `cbor:"1,keyasint"`
	Age    clock.Milli `cbor:"2,keyasint"`
}

// Part is the membership part of a control message. All of its fields are
// optional.
type Part struct {
	Probe *Probe `cbor:"1,keyasint,omitempty"`
	// Root is the digest of the sender's whole view.
	Root uint64 `cbor:"2,keyasint,omitempty"`
	// Digests are the digests of the view's buckets, sent if the roots differ.
	Digests []uint32 `cbor:"3,keyasint,omitempty"`
	// Pull lists the buckets whose records the sender requests.
	Pull     []uint8   `cbor:"4,keyasint,omitempty"`
	Records  []Record  `cbor:"5,keyasint,omitempty"`
	Contacts []Contact `cbor:"6,keyasint,omitempty"`
}
