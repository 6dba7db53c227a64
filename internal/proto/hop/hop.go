// Package hop is the sealed header by which one daemon describes an attempt
// to the daemon that guards the target.
//
// A [Hop] is encoded in CBOR, followed by an HMAC-SHA256 under the fleet key
// and wrapped in base64url. Only daemons hold the key, so neither a caller nor
// a target can forge an id, an importance, a deadline or retry units.
package hop

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"hash"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// MaxLen bounds the length of a sealed hop in bytes.
const MaxLen = 2048

const macBytes = 16

// Hop describes one attempt.
type Hop struct {
	// Attempt is the id of the attempt, unique in the fleet.
	Attempt string `cbor:"1,keyasint"`
	// ID is the id of the request that the attempt is for.
	ID string `cbor:"2,keyasint"`
	// Root is the id of the outermost request of the chain.
	Root string `cbor:"3,keyasint"`
	// RootHash ranks requests of equal importance; all hops of a chain share it.
	RootHash uint64 `cbor:"4,keyasint"`
	// Target is the name of the instance that the attempt is meant for.
	Target string `cbor:"5,keyasint"`
	// Path is "service/operation".
	Path string `cbor:"6,keyasint"`
	// Caller is the name of the outside caller at the root.
	Caller string `cbor:"7,keyasint"`
	// Importance is the root's importance.
	Importance rules.Importance `cbor:"8,keyasint"`
	// Depth is 0 for a call from outside and grows by one a hop.
	Depth int `cbor:"9,keyasint"`
	// Remaining is the time left until the deadline, as a duration.
	Remaining clock.Milli `cbor:"10,keyasint"`
	// RetryUnits is the number of retry units handed on with the attempt.
	RetryUnits int `cbor:"11,keyasint"`
	// Ticket is the sealed ticket of an operation that may not be repeated.
	Ticket string `cbor:"12,keyasint,omitempty"`
	// Digest is the xxhash64 of the request's method, path and body.
	Digest uint64 `cbor:"13,keyasint"`
	// Age is the time since the attempt began, in a question about it.
	Age clock.Milli `cbor:"14,keyasint,omitempty"`
	// Incarnation is that of the guarding daemon when the attempt began, 0 if
	// the sender did not know it.
	Incarnation uint64 `cbor:"15,keyasint,omitempty"`
}

// Kind tells why a hop was refused.
type Kind uint8

// Kinds of errors.
const (
	// Malformed means that the text is no sealed hop.
	Malformed Kind = iota
	// Forged means that the seal does not match under any key.
	Forged
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns one sentence without a full stop.
func (e *Error) Error() string { return fmt.Sprintf("hop: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errBadLength = errors.New("length is out of bounds")
	errBadMAC    = errors.New("seal does not match")
)

// decMode bounds what a hostile hop can make the decoder allocate.
var decMode = mustDecMode()

// Keys are the fleet's keys. They are safe for concurrent use.
type Keys struct {
	// macs hold states of HMAC under each key, since making one costs as much
	// as using it.
	macs []*sync.Pool
}

// NewKeys returns the keys made from secrets. The first seals, all open.
func NewKeys(secrets [][]byte) *Keys {
	k := &Keys{}
	for _, secret := range secrets {
		k.macs = append(k.macs, &sync.Pool{
			New: func() any { return hmac.New(sha256.New, secret) },
		})
	}
	return k
}

// Seal encodes h and seals it with the first key.
func (k *Keys) Seal(h Hop) (string, error) {
	body, err := cbor.Marshal(h)
	if err != nil {
		return "", &Error{
			Op:   "seal",
			Kind: Malformed,
			Err:  err,
		}
	}
	var buf [sha256.Size]byte
	sealed := append(body, mac(k.macs[0], body, buf[:0])...)
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Open checks the seal of s under each key in turn and decodes it. The error
// is an [*Error].
func (k *Keys) Open(s string) (Hop, error) {
	var h Hop
	if len(s) == 0 || len(s) > MaxLen {
		return h, malformed(errBadLength)
	}
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return h, malformed(err)
	}
	if len(raw) <= macBytes {
		return h, malformed(errBadLength)
	}
	body, tag := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !k.hasValidMAC(body, tag) {
		return h, &Error{
			Op:   "open",
			Kind: Forged,
			Err:  errBadMAC,
		}
	}
	if err := decMode.Unmarshal(body, &h); err != nil {
		return Hop{}, malformed(err)
	}
	return h, nil
}

func (k *Keys) hasValidMAC(body, tag []byte) bool {
	var buf [sha256.Size]byte
	for _, pool := range k.macs {
		if hmac.Equal(tag, mac(pool, body, buf[:0])) {
			return true
		}
	}
	return false
}

// mac appends the seal of body to buf.
func mac(pool *sync.Pool, body, buf []byte) []byte {
	m := pool.Get().(hash.Hash)
	defer pool.Put(m)
	m.Reset()
	m.Write(body)
	return m.Sum(buf)[:macBytes]
}

func malformed(err error) error {
	return &Error{
		Op:   "open",
		Kind: Malformed,
		Err:  err,
	}
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  4,
		MaxArrayElements: 16,
		MaxMapPairs:      32,
	}.DecMode()
	if err != nil {
		panic("hop: decoder options: " + err.Error())
	}
	return mode
}
