package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"

	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds on tickets and keys.
const (
	// MaxFieldBytes bounds each text field of a ticket.
	MaxFieldBytes = 128
	// MaxSealedBytes bounds the sealed text.
	MaxSealedBytes = 1400
	// MinKeyBytes is the length of the shortest key that is accepted.
	MinKeyBytes = 16
)

const (
	formatVersion = 1
	macBytes      = sha256.Size
)

var (
	errField    = errors.New("field is empty or too long")
	errKey      = errors.New("no key of at least 16 bytes")
	errLength   = errors.New("text is too long")
	errVersion  = errors.New("unknown version")
	errShort    = errors.New("text ends early")
	errTrailing = errors.New("text goes on after the last field")
)

// Keys seals and opens tickets. The first key seals, and every key opens, so
// that keys can be rotated: the new key is put first on every daemon before the
// old one is withdrawn. A Keys is immutable and may be used from any goroutine.
type Keys struct {
	keys [][]byte
}

// NewKeys returns the Keys for a list of secrets, which it copies. It returns
// an *Error of kind NoKey when the list is empty or a secret is shorter than
// MinKeyBytes.
func NewKeys(secrets ...[]byte) (*Keys, error) {
	if len(secrets) == 0 {
		return nil, fail("keys", NoKey, errKey)
	}
	keys := make([][]byte, 0, len(secrets))
	for _, s := range secrets {
		if len(s) < MinKeyBytes {
			return nil, fail("keys", NoKey, errKey)
		}
		keys = append(keys, append([]byte(nil), s...))
	}
	return &Keys{keys: keys}, nil
}

// Seal returns the sealed text of t. It returns an *Error of kind Oversize when
// a text field is longer than MaxFieldBytes, a required field is empty, or the
// window is negative.
func (k *Keys) Seal(t Ticket) (string, error) {
	if !hasValidFields(t) {
		return "", fail("seal", Oversize, errField)
	}
	var buf [MaxSealedBytes]byte
	payload := appendPayload(buf[:0], t)
	payload = appendMAC(payload, k.keys[0])
	return base64.RawURLEncoding.EncodeToString(payload), nil
}

// Open verifies the MAC of text and returns the ticket. The error is an *Error
// of kind Oversize, Malformed or Forged; with an error the ticket is zero, so
// that nothing unverified is used.
func (k *Keys) Open(text string) (Ticket, error) {
	if len(text) > MaxSealedBytes {
		return Ticket{}, fail("open", Oversize, errLength)
	}
	var buf [MaxSealedBytes]byte
	n, err := base64.RawURLEncoding.Strict().Decode(buf[:], []byte(text))
	if err != nil {
		return Ticket{}, fail("open", Malformed, err)
	}
	if n <= macBytes {
		return Ticket{}, fail("open", Malformed, errShort)
	}
	payload, mac := buf[:n-macBytes], buf[n-macBytes:n]
	if !k.verify(payload, mac) {
		return Ticket{}, fail("open", Forged, nil)
	}
	return parsePayload(payload)
}

// verify reports whether mac is the MAC of payload under one of the keys.
func (k *Keys) verify(payload, mac []byte) bool {
	for _, key := range k.keys {
		h := hmac.New(sha256.New, key)
		h.Write(payload)
		var sum [macBytes]byte
		if hmac.Equal(h.Sum(sum[:0]), mac) {
			return true
		}
	}
	return false
}

// appendMAC returns payload followed by its MAC under key.
func appendMAC(payload, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(payload)
}

// hasValidFields reports whether the fields of t are within their bounds and
// the required ones are not empty.
func hasValidFields(t Ticket) bool {
	for _, s := range []string{t.ID, t.Caller, t.Path, t.Target} {
		if s == "" || len(s) > MaxFieldBytes {
			return false
		}
	}
	return len(t.Addr) <= MaxFieldBytes && len(t.Root) <= MaxFieldBytes && t.Window >= 0
}

// appendPayload appends the encoded fields of t to b.
func appendPayload(b []byte, t Ticket) []byte {
	b = append(b, formatVersion)
	for _, s := range []string{t.ID, t.Caller, t.Path, t.Target, t.Addr, t.Root} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendUvarint(b, t.Incarnation)
	b = binary.AppendUvarint(b, t.Generation)
	return binary.AppendUvarint(b, uint64(t.Window))
}

// parsePayload decodes a payload whose MAC has been verified.
func parsePayload(payload []byte) (Ticket, error) {
	if payload[0] != formatVersion {
		return Ticket{}, fail("open", Malformed, errVersion)
	}
	r := reader{rest: payload[1:]}
	t := Ticket{
		ID:          r.text(),
		Caller:      r.text(),
		Path:        r.text(),
		Target:      r.text(),
		Addr:        r.text(),
		Root:        r.text(),
		Incarnation: r.number(),
		Generation:  r.number(),
		Window:      clock.Milli(r.number()),
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = errTrailing
	}
	if r.err == nil && !hasValidFields(t) {
		r.err = errField
	}
	if r.err != nil {
		return Ticket{}, fail("open", Malformed, r.err)
	}
	return t, nil
}

// reader decodes fields from the front of rest. After an error, err is set and
// all further fields are zero.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.err = errShort
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) text() string {
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.err = errShort
		r.rest = nil
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}
