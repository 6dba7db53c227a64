package agent

import (
	"siskinswitch.example/siskin/internal/coord/leave"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
)

// Message is the one message of the control traffic between daemons. All parts
// are optional, so that updates can be added to any message. There are no
// replies: a receiver that has to answer sends a message of its own, and every
// message may be lost, repeated or late.
type Message struct {
	// Incarnation identifies the process that sent the message.
	Incarnation uint64       `cbor:"1,keyasint"`
	Member      member.Part  `cbor:"2,keyasint,omitempty"`
	Marks       []leave.Mark `cbor:"3,keyasint,omitempty"`
	Spread      spread.Part  `cbor:"4,keyasint,omitempty"`
	// MarksDigest is the digest of the sender's leaving marks. Only pings carry
	// it.
	MarksDigest uint64 `cbor:"5,keyasint,omitempty"`
}
