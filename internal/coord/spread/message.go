package spread

import "siskinswitch.example/siskin/pkg/clock"

// Limits of a message.
const (
	// MaxDataBytes is the largest size of the data of a [Transfer]: the largest
	// value and some reserve.
	MaxDataBytes = 1<<20 + 4096
	// MaxDigestBytes is the length of the longest digest, SHA-256 in hex.
	MaxDigestBytes = 64
)

// Offer announces the sender's active value.
type Offer struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	// Age is the time since a reader confirmed with the service that this was
	// the newest value. It is negative if no confirmation is known.
	Age clock.Milli `cbor:"3,keyasint"`
}

// Fetch requests the receiver's active value. Digest names the sender's own
// active value, so that the answer can be a delta against it; it is empty if
// the sender has none or needs the whole value.
type Fetch struct {
	Digest string `cbor:"1,keyasint,omitempty"`
}

// Transfer carries a value: as a delta against the value with the digest Base,
// or the whole value if Base is empty.
type Transfer struct {
	Base    string `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint"`
	Digest  string `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
	// Busy reports that the sender has used up its budget of bytes and sends no
	// data. The receiver is to ask another daemon.
	Busy bool `cbor:"5,keyasint,omitempty"`
}

// Part is the configuration part of a control message. All of its fields are
// optional.
type Part struct {
	Offer    *Offer    `cbor:"1,keyasint,omitempty"`
	Fetch    *Fetch    `cbor:"2,keyasint,omitempty"`
	Transfer *Transfer `cbor:"3,keyasint,omitempty"`
}
