// Package hop defines the authenticated header with which one daemon describes
// an attempt to the daemon that guards the target.
//
// A [Hop] is encoded in CBOR, followed by a truncated HMAC-SHA256 under the
// fleet key, and the whole is encoded in base64url. Only daemons hold the key,
// so neither a caller nor a target can forge an id, an importance, a deadline
// or retry units.
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
	// ID is the id of the request that the attempt belongs to.
	ID string `cbor:"2,keyasint"`
	// Root is the id of the outermost request of the chain.
	Root string `cbor:"3,keyasint"`
	// RootHash orders requests of equal importance for load shedding. All hops
	// of a chain share it, so that every service ranks the chain alike.
	RootHash uint64 `cbor:"4,keyasint"`
	// Target is the name of the instance that should run the attempt.
	Target string `cbor:"5,keyasint"`
	// Path is "service/operation".
	Path string `cbor:"6,keyasint"`
	// Caller is the name of the external caller that sent the root request.
	Caller string `cbor:"7,keyasint"`
	// Importance is the importance of the root request.
	Importance rules.Importance `cbor:"8,keyasint"`
	// Depth is 0 for a call from outside and grows by one with each hop.
	Depth int `cbor:"9,keyasint"`
	// Remaining is the time until the deadline. It is a duration because
	// daemons do not share a clock.
	Remaining clock.Milli `cbor:"10,keyasint"`
	// RetryUnits is the part of the chain's retry budget that goes with the
	// attempt.
	RetryUnits int `cbor:"11,keyasint"`
	// Ticket is the sealed ticket of a non-idempotent operation.
	Ticket string `cbor:"12,keyasint,omitempty"`
	// Digest is the xxhash64 of the request's method, path and body.
	Digest uint64 `cbor:"13,keyasint"`
	// Age is the time since the attempt began. It is set only in a query for
	// the attempt's outcome.
	Age clock.Milli `cbor:"14,keyasint,omitempty"`
	// Incarnation is the incarnation of the guarding daemon when the attempt
	// began, 0 if the sender did not know it.
	Incarnation uint64 `cbor:"15,keyasint,omitempty"`
}

// Kind says why a hop was refused.
type Kind uint8

// Kinds of errors.
const (
	// Malformed means that the text is not a sealed hop.
	Malformed Kind = iota
	// Forged means that the MAC does not match under any key.
	Forged
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("hop: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errBadLength = errors.New("length is out of bounds")
	errBadMAC    = errors.New("MAC does not match under any key")
)

// decMode bounds the memory that decoding a hostile hop can take.
var decMode = mustDecMode()

// Keys holds the fleet's keys. It is safe for concurrent use.
type Keys struct {
	// macs holds a pool of HMAC states for each key, since making a state costs
	// as much as using it.
	macs []*sync.Pool
}

// NewKeys returns the keys made from secrets. The first one seals hops and
// all of them open hops, so that a key can be replaced in steps.
func NewKeys(secrets [][]byte) *Keys {
	k := &Keys{}
	for _, secret := range secrets {
		k.macs = append(k.macs, &sync.Pool{
			New: func() any { return hmac.New(sha256.New, secret) },
		})
	}
	return k
}

// Seal encodes h and appends its MAC under the first key. There must be at least
// one key.
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

// Open verifies the MAC of s under each key in turn and decodes s. The error is
// an [*Error].
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

// hasValidMAC reports whether tag is the MAC of body under any key.
func (k *Keys) hasValidMAC(body, tag []byte) bool {
	var buf [sha256.Size]byte
	for _, pool := range k.macs {
		if hmac.Equal(tag, mac(pool, body, buf[:0])) {
			return true
		}
	}
	return false
}

// mac appends the truncated MAC of body to buf.
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
