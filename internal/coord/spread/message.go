package spread

import "siskinswitch.example/siskin/pkg/clock"

// Bounds of what a message carries.
const (
	// MaxDataBytes bounds the bytes of a [Piece]: a whole value and some room.
	MaxDataBytes = 1<<20 + 4096
	// MaxDigestBytes bounds the length of a digest: SHA-256 in hex.
	MaxDigestBytes = 64
)

// Offer names the value that the sender has in force.
type Offer struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	// Age is the time since a reader confirmed with the service that this
	// value was the newest one. It is negative if nobody is known to have.
	Age clock.Milli `cbor:"3,keyasint"`
}

// Fetch asks for the newest value. Digest names the value that the sender has,
// so that the answer can be a delta against it; it is empty if there is none.
type Fetch struct {
	Digest string `cbor:"1,keyasint,omitempty"`
}

// Transfer carries a value: a delta against the value named Base, or the whole
// one where Base is empty.
type Transfer struct {
	Base    string `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint"`
	Digest  string `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
	// Busy says that the sender has no bytes to spare now: ask another.
	Busy bool `cbor:"5,keyasint,omitempty"`
}

// Part is the share of a control message that belongs to the configuration.
type Part struct {
	Offer    *Offer    `cbor:"1,keyasint,omitempty"`
	Fetch    *Fetch    `cbor:"2,keyasint,omitempty"`
	Transfer *Transfer `cbor:"3,keyasint,omitempty"`
}
