package proxy

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// logBytesPerSecond is the number of bytes of log lines that a daemon writes in a
	// second, linesBurst what it may save up.
	logBytesPerSecond = 48 << 10
	logBurstBytes     = 256 << 10
	// minLineBytes is the room that there must be for a line to be made.
	minLineBytes = 512
	// maxQueuedLines is the number of lines that wait for a slow reader.
	maxQueuedLines = 1024
	// dropReportEvery is the least time between two lines that tell how many were
	// left out.
	dropReportEvery = clock.Second
)

// NewLogger returns a logger that writes one line of JSON for each event. Lines
// for which a [LogWriter] has no room are left out before they are made.
func NewLogger(out zapcore.WriteSyncer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	level := zap.LevelEnablerFunc(zapcore.InfoLevel.Enabled)
	if l, ok := out.(*LogWriter); ok {
		level = func(lvl zapcore.Level) bool { return lvl >= zapcore.InfoLevel && l.hasRoom() }
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, level))
}

// LogWriter passes log lines on without ever holding up who writes them. LogWriter
// beyond the rate, and those that a slow reader leaves no room for, are left
// out; a line of their own tells how many.
type LogWriter struct {
	clock   clock.Clock
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu         sync.Mutex
	tokens     int64
	refilledAt clock.Milli
	closed     bool
}

// NewLogWriter returns a writer in front of out.
func NewLogWriter(out io.Writer, c clock.Clock) *LogWriter {
	l := &LogWriter{
		clock:      c,
		out:        out,
		queue:      make(chan []byte, maxQueuedLines),
		done:       make(chan struct{}),
		tokens:     logBurstBytes,
		refilledAt: c.Now(),
	}
	go l.run(l.refilledAt)
	return l
}

// Write takes one line. It never fails.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.takeTokens(len(line)) || l.closed {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// hasRoom reports whether the rate allows one more line, and counts one as left
// out if it does not.
func (l *LogWriter) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	if l.tokens < minLineBytes {
		l.dropped.Add(1)
		return false
	}
	return true
}

// refill adds what the rate has brought since it was looked at last. l.mu is
// held.
func (l *LogWriter) refill() {
	now := l.clock.Now()
	l.tokens = min(logBurstBytes, l.tokens+int64(now-l.refilledAt)*logBytesPerSecond/int64(clock.Second))
	l.refilledAt = now
}

// takeTokens charges n bytes to the rate. l.mu is held.
func (l *LogWriter) takeTokens(n int) bool {
	l.refill()
	if l.tokens < int64(n) {
		return false
	}
	l.tokens -= int64(n)
	return true
}

// Sync does nothing; Close writes what waits.
func (l *LogWriter) Sync() error { return nil }

// Close writes the lines that wait, for a while.
func (l *LogWriter) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After((100 * clock.Millisecond).Duration()):
	}
}

// run writes the lines, and from time to time how many were left out. A write
// that fails loses its line, since there is nowhere to tell of it.
func (l *LogWriter) run(reportedAt clock.Milli) {
	defer close(l.done)
	for line := range l.queue {
		_, _ = l.out.Write(line)
		if now := l.clock.Now(); now-reportedAt >= dropReportEvery {
			reportedAt = now
			l.reportDropped()
		}
	}
	l.reportDropped()
}

// reportDropped writes how many lines were left out since it was told last.
func (l *LogWriter) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.out, `{"level":"warn","msg":%q,"event":%d,"lines":%d}`+"\n", event.LinesOmitted.Text, event.LinesOmitted.Number, n)
	}
}
