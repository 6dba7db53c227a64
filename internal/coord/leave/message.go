package leave

import "siskinswitch.example/siskin/pkg/clock"

// MaxMarks is the largest number of marks in one message.
const MaxMarks = 256

// Mark announces that one process on a host is leaving. It does not apply to
// later processes there.
type Mark struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Age is the time since the mark was made. It is an age, not an instant, so
	// the clocks of hosts need not agree.
	Age clock.Milli `cbor:"3,keyasint,omitempty"`
}
