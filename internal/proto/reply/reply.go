// Package reply is the header by which a guarding daemon answers another
// daemon: what became of the attempt, and the guard's present state, which
// rides on every answer so that nobody has to ask for it.
//
// The text form is a list of fields divided by semicolons, in a fixed order.
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

// State is what a guard says of an attempt.
type State string

// States of attempts.
const (
	// Done means that the target's answer follows.
	Done State = "done"
	// NotRun means that the attempt did not run and is fenced.
	NotRun State = "not-run"
	// Running means that the attempt runs or waits for a slot.
	Running State = "running"
	// Ended means that the attempt ended earlier and its answer is gone.
	Ended State = "ended"
	// Unknown means that the guard cannot tell.
	Unknown State = "unknown"
)

// Outcome returns the outcome that a caller is told for s.
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

// Reply is the guard's part of an answer.
type Reply struct {
	// Attempt repeats the id of the attempt.
	Attempt string
	State   State
	// RetryUnits is the number of unspent retry units that come back.
	RetryUnits int
	// Digest is the xxhash64 of the answer's status and body.
	Digest uint64
	// Threshold is the least rank that the guard now admits.
	Threshold admit.Threshold
	// Short and Long are the load of the gate's two lanes.
	Short   Lane
	Long    Lane
	Leaving bool
	// Stamp is what tickets for this guard should carry.
	Stamp ticket.Stamp
}

// Lane is the load of one lane of a gate.
type Lane struct {
	// Running is the number of requests that run or wait.
	Running int
	// Limit is the number that may run at once.
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

// Error returns one sentence without a full stop.
func (e *Error) Error() string { return fmt.Sprintf("reply: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	numFields = 12
	separator = ";"
	maxBytes  = 512
)

var errFieldCount = errors.New("wrong number of fields")

// String returns the text form.
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

// Parse reads the text form. The error is an [*Error].
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

// parser reads fields and keeps the first error.
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
