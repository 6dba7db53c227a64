package client

import (
	"bytes"
	"errors"
)

const (
	// The statuses of answers. Those below firstFinal are interim.
	minStatus  = 100
	firstFinal = 200
	maxStatus  = 599
	// statusBegin and statusEnd are where the status stands in the first line of an
	// answer of any version of HTTP/1.
	statusBegin = len("HTTP/1.1 ")
	statusEnd   = statusBegin + len("200")
)

var errStatus = errors.New("the answer has no valid status")

// statusCheck checks the statuses of an answer and of the interim answers before it.
// The library takes any number for a status, and 0 for 200.
type statusCheck struct {
	// head is what has arrived of the present head.
	head []byte
	// isOver is set behind the status of the final answer.
	isOver bool
}

// add checks bytes that arrived.
func (s *statusCheck) add(arrived []byte) error {
	if s.isOver {
		return nil
	}
	s.head = append(s.head, arrived...)
	for len(s.head) > statusEnd {
		status, ok := parseStatus(s.head[statusBegin : statusEnd+1])
		if !ok {
			return errStatus
		}
		if status >= firstFinal {
			s.isOver = true
			s.head = nil
			return nil
		}
		_, rest, found := bytes.Cut(s.head, []byte("\r\n\r\n"))
		if !found {
			return nil
		}
		s.head = rest
	}
	return nil
}

// parseStatus returns the status in b, which has three digits and the byte behind them,
// and whether it is one.
func parseStatus(b []byte) (int, bool) {
	n := 0
	last := len(b) - 1
	for _, d := range b[:last] {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = 10*n + int(d-'0')
	}
	return n, n >= minStatus && n <= maxStatus && (b[last] == ' ' || b[last] == '\r')
}
