// Package diag finds out from the logs of the daemons on the users' platform why
// a request failed, and counts the results of all requests.
//
// A [Line] is one line as a daemon wrote it. The outbound side of the caller's
// host logs a line for each answer, and the inbound side of a target's host logs
// one for each attempt. Lines of one request share the request's id, and the id of
// a call starts with the id of the request that made it. [Collector.Explain]
// follows the calls of a request down to the one that caused its failure.
// [Summary] counts the lines of many requests.
//
// Daemons log only a sample of successful requests, and they omit lines when
// there are too many. A missing line therefore does not prove that nothing
// happened, and results state what is missing.
package diag

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"siskinswitch.example/siskin/internal/proto/event"
)

// timeFormat is the layout of the time in a line.
const timeFormat = "2006-01-02T15:04:05.000Z0700"

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Line is one log line. Fields that do not apply to its event are empty.
type Line struct {
	// Time is when the line was written, by the clock of the host.
	Time time.Time `json:"-"`
	// Timestamp is the text that Time was parsed from.
	Timestamp string `json:"ts"`
	Host      string `json:"host"`
	Event     int    `json:"event"`
	// Message is the text of the event.
	Message string `json:"msg"`
	// ID is the id of the request.
	ID string `json:"id"`
	// Service, Route, Version, Tried, End and Left appear in lines of the
	// outbound side. Tried lists the targets of the attempts; Left is the time
	// in milliseconds that was left until the deadline.
	Service string   `json:"service"`
	Route   string   `json:"route"`
	Version uint64   `json:"version"`
	Tried   []string `json:"tried"`
	End     string   `json:"end"`
	Left    int64    `json:"left"`
	// Path, Target, IsQuery, Outcome, Running, Limit and Threshold appear in
	// lines of the inbound side. IsQuery says that the line is about a query
	// for the outcome of an attempt.
	Path      string `json:"path"`
	Target    string `json:"target"`
	IsQuery   bool   `json:"ask"`
	Outcome   string `json:"outcome"`
	Running   int    `json:"running"`
	Limit     int    `json:"limit"`
	Threshold string `json:"threshold"`
	// Importance, Depth, Reason, Status, Took and Sample appear in lines of
	// both sides. Took is in milliseconds; Sample is the number of requests
	// that the line stands for.
	Importance string `json:"importance"`
	Depth      int    `json:"depth"`
	Reason     string `json:"reason"`
	Status     int    `json:"status"`
	Took       int64  `json:"took"`
	Sample     int    `json:"sample"`
	// Omitted is the number of lines that the daemon left out.
	Omitted int `json:"lines"`
}

// IsAnswer reports whether the line records the answer to a caller.
func (l *Line) IsAnswer() bool { return l.Event == event.Answered.Number }

// IsAttempt reports whether the line records an attempt at a target.
func (l *Line) IsAttempt() bool { return l.Event == event.Attempt.Number && !l.IsQuery }

// Began returns the time when the request or attempt began.
func (l *Line) Began() time.Time { return l.Time.Add(-time.Duration(l.Took) * time.Millisecond) }

// Read calls visit for each line of a log. It ignores text before the JSON
// object of a line, which log collectors add. Read returns the number of lines
// that it could not parse.
func Read(r io.Reader, visit func(Line)) (int, error) {
	unread := 0
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := in.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			unread++
			if err := skipLine(in); err != nil {
				return unread, err
			}
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return unread, fmt.Errorf("diag: read log: %w", err)
		}
		if len(bytes.TrimSpace(text)) > 0 {
			l, ok := parseLine(text)
			if ok {
				visit(l)
			} else {
				unread++
			}
		}
		if err != nil {
			return unread, nil
		}
	}
}

// skipLine discards the rest of a line.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		switch {
		case err == nil, errors.Is(err, io.EOF):
			return nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return fmt.Errorf("diag: read log: %w", err)
		}
	}
}

func parseLine(text []byte) (Line, bool) {
	var l Line
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &l) != nil || l.Event == 0 {
		return l, false
	}
	at, err := time.Parse(timeFormat, l.Timestamp)
	// The line that reports omitted lines has no time.
	if err != nil && l.Event != event.LinesOmitted.Number {
		return l, false
	}
	l.Time = at
	return l, true
}
