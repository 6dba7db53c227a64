// Package reply defines the header with which a guarding daemon answers another
// daemon. It holds the state of the attempt and the current load and threshold
// of the guard. Because every answer carries the latter, daemons need no extra
// requests to learn it.
//
// The text form is a list of fields in a fixed order, separated by semicolons.
package reply

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/header"
)

// State is the state of an attempt as the guard knows it.
type State string

// States of attempts.
const (
	// Done means that the target's answer follows.
	Done State = "done"
	// NotRun means that the attempt did not run and is fenced, so it never will.
	NotRun State = "not-run"
	// Running means that the attempt runs or waits for a slot.
	Running State = "running"
	// Ended means that the attempt ended earlier and its answer is no longer
	// kept.
	Ended State = "ended"
	// Unknown means that the guard does not know whether the attempt ran.
	Unknown State = "unknown"
)

// Outcome returns the outcome that the caller gets for s, one of the constants
// of package header. Every state other than [Done] and [NotRun] gives
// header.Unknown.
func (s State) Outcome() string {
	switch s {
	case Done:
		return header.Done
	case NotRun:
		return header.NotRun
	default:
		return header.Unknown
	}
}

// Reply is the state that a guarding daemon attaches to an answer.
type Reply struct {
	// Attempt repeats the id of the attempt.
	Attempt string
	State   State
	// RetryUnits is the number of unspent retry units that are returned.
	RetryUnits int
	// Digest is the xxhash64 of the answer's status and body.
	Digest uint64
	// Threshold is the lowest rank that the guard admits at present.
	Threshold admit.Threshold
	// Short and Long are the loads of the two lanes of the gate, for short and
	// for long requests.
	Short   Lane
	Long    Lane
	Leaving bool
	// Stamp is the stamp that new tickets for this guard should carry.
	Stamp ticket.Stamp
}

// Lane is the load of one lane of a gate.
type Lane struct {
	// Running is the number of requests that run or wait.
	Running int
	// Limit is the lane's concurrency limit.
	Limit int
}

// Kind classifies an [Error].
type Kind uint8

// Malformed is the only kind: the text is not a reply.
const Malformed Kind = 1

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("reply: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	numFields = 12
	separator = ";"
	maxBytes  = 512
)

var errFieldCount = errors.New("wrong number of fields")

// String returns the text form of r.
func (r Reply) String() string {
	buf := make([]byte, 0, 128)
	buf = append(buf, r.Attempt...)
	buf = append(buf, ';')
	buf = append(buf, r.State...)
	buf = append(buf, ';')
	buf = strconv.AppendInt(buf, int64(r.RetryUnits), 10)
	buf = append(buf, ';')
	buf = strconv.AppendUint(buf, r.Digest, 16)
	buf = append(buf, ';')
	buf = append(buf, r.Threshold.String()...)
	buf = append(buf, ';')
	for _, n := range [...]int{r.Short.Running, r.Short.Limit, r.Long.Running, r.Long.Limit} {
		buf = strconv.AppendInt(buf, int64(n), 10)
		buf = append(buf, ';')
	}
	buf = strconv.AppendBool(buf, r.Leaving)
	buf = append(buf, ';')
	buf = strconv.AppendUint(buf, r.Stamp.Incarnation, 16)
	buf = append(buf, ';')
	buf = strconv.AppendUint(buf, r.Stamp.Generation, 16)
	return string(buf)
}

// Parse parses the text form of a Reply. The error is an [*Error].
func Parse(text string) (Reply, error) {
	var r Reply
	if len(text) > maxBytes {
		return r, malformed(errFieldCount)
	}
	parts := strings.Split(text, separator)
	if len(parts) != numFields {
		return r, malformed(errFieldCount)
	}
	p := parser{}
	r.Attempt = parts[0]
	r.State = p.state(parts[1])
	r.RetryUnits = p.number(parts[2])
	r.Digest = p.hex(parts[3])
	r.Threshold = p.threshold(parts[4])
	r.Short.Running = p.number(parts[5])
	r.Short.Limit = p.number(parts[6])
	r.Long.Running = p.number(parts[7])
	r.Long.Limit = p.number(parts[8])
	r.Leaving = p.flag(parts[9])
	r.Stamp.Incarnation = p.hex(parts[10])
	r.Stamp.Generation = p.hex(parts[11])
	if p.err != nil {
		return Reply{}, malformed(p.err)
	}
	return r, nil
}

// parser converts fields and keeps the first error.
type parser struct {
	err error
}

func (p *parser) setErr(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *parser) state(s string) State {
	switch state := State(s); state {
	case Done, NotRun, Running, Ended, Unknown:
		return state
	}
	p.setErr(fmt.Errorf("unknown state %q", s))
	return Unknown
}

func (p *parser) number(s string) int {
	n, err := strconv.ParseUint(s, 10, 31)
	p.setErr(err)
	return int(n)
}

func (p *parser) hex(s string) uint64 {
	n, err := strconv.ParseUint(s, 16, 64)
	p.setErr(err)
	return n
}

func (p *parser) flag(s string) bool {
	b, err := strconv.ParseBool(s)
	p.setErr(err)
	return b
}

func (p *parser) threshold(s string) admit.Threshold {
	t, err := admit.ParseThreshold(s)
	p.setErr(err)
	return t
}

func malformed(err error) error {
	return &Error{
		Op:   "parse",
		Kind: Malformed,
		Err:  err,
	}
}
