package outbnd

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	mathrand "math/rand/v2"
	"strings"

	"siskinswitch.example/siskin/internal/state/ticket"
)

// newID returns a random id for a request.
func newID() string {
	var random [ticket.EntropyBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		// crypto/rand.Read crashes the process rather than return an error.
		panic("outbnd: draw an id: " + err.Error())
	}
	return ticket.NewID(random)
}

// rootID returns the trace id of a W3C traceparent, or a random one if parent is
// not valid.
func rootID(parent []byte) string {
	parts := strings.Split(string(parent), "-")
	if len(parts) >= 4 && len(parts[1]) == traceIDDigits && isHex(parts[1]) {
		return parts[1]
	}
	var random [traceIDDigits / 2]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic("outbnd: draw a trace id: " + err.Error())
	}
	return hex.EncodeToString(random[:])
}

func isHex(s string) bool {
	_, err := hex.DecodeString(s)
	return err == nil
}

// traceparent returns a W3C traceparent for the trace id root, with a new parent
// id. The parent id only distinguishes spans, so it need not be hard to guess.
func traceparent(root string) []byte {
	const version, sampled, spanDigits = "00-", "-01", 16
	buf := make([]byte, 0, len(version)+len(root)+1+spanDigits+len(sampled))
	buf = append(buf, version...)
	buf = append(buf, root...)
	buf = append(buf, '-')
	var span [8]byte
	// W3C Trace Context forbids a parent id of all zeros.
	binary.BigEndian.PutUint64(span[:], max(mathrand.Uint64(), 1))
	buf = hex.AppendEncode(buf, span[:])
	return append(buf, sampled...)
}
