// Package story joins the log lines of the daemons on the users' platform to
// what became of one request and of a whole day.
//
// A [Line] is one line as a daemon wrote it. Lines about requests are joined by
// the request's id: the outbound side of the caller's host writes one for the
// answer, the inbound side of each target's host one for an attempt, and the id
// of a call begins with that of the request that made it. [Explain] walks from a
// request down to the call that failed it, [Sum] counts a day.
//
// Logs are thinned when all is well and cut when there is too much to tell, so
// what is not in them has not therefore not happened. Both functions say what
// they miss.
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

// timeFormat is how daemons write the time of a line.
const timeFormat = "2006-01-02T15:04:05.000Z0700"

// maxLineBytes bounds one line, in bytes.
const maxLineBytes = 1 << 20

// Line is one log line. Fields that a kind of line lacks are empty.
type Line struct {
	// Time is when it was written, by the clock of the host.
	Time time.Time `json:"-"`
	// Timestamp is Time as it was written.
	Timestamp string `json:"ts"`
	Host      string `json:"host"`
	Event     int    `json:"event"`
	// Message is the message of the event.
	Message string `json:"msg"`
	// ID is the request's.
	ID string `json:"id"`
	// Service, Route, Tried, End and Left are of the outbound side: Tried lists
	// the targets, Left is the time in ms that was left.
	Service string   `json:"service"`
	Route   string   `json:"route"`
	Version uint64   `json:"version"`
	Tried   []string `json:"tried"`
	End     string   `json:"end"`
	Left    int64    `json:"left"`
	// Path, Target, Ask, Outcome, Running, Limit and Threshold are of the
	// inbound side. Ask says that the line is about a question.
	Path      string `json:"path"`
	Target    string `json:"target"`
	IsQuery   bool   `json:"ask"`
	Outcome   string `json:"outcome"`
	Running   int    `json:"running"`
	Limit     int    `json:"limit"`
	Threshold string `json:"threshold"`
	// Importance, Depth, Reason, Status, Took and Sample are of both: Took is
	// in ms, Sample the number of requests that the line stands for.
	Importance string `json:"importance"`
	Depth      int    `json:"depth"`
	Reason     string `json:"reason"`
	Status     int    `json:"status"`
	Took       int64  `json:"took"`
	Sample     int    `json:"sample"`
	// Omitted is how many lines were left out.
	Omitted int `json:"lines"`
}

// IsAnswer reports whether the line tells what a caller was answered.
func (l *Line) IsAnswer() bool { return l.Event == event.Answered.Number }

// IsAttempt reports whether the line tells of an attempt at a target.
func (l *Line) IsAttempt() bool { return l.Event == event.Attempt.Number && !l.IsQuery }

// Began returns when the request or attempt of the line began.
func (l *Line) Began() time.Time { return l.Time.Add(-time.Duration(l.Took) * time.Millisecond) }

// Read calls each with the lines of a log. Text before the object of a line is
// passed over, as log collectors put it there. It returns how many lines it
// could not read.
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
			return unread, fmt.Errorf("story: read a log: %w", err)
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

// skipLine passes over the rest of a line.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		switch {
		case err == nil, errors.Is(err, io.EOF):
			return nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return fmt.Errorf("story: read a log: %w", err)
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
	// The line that tells of lines left out has no time.
	if err != nil && l.Event != event.LinesOmitted.Number {
		return l, false
	}
	l.Time = at
	return l, true
}
