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
	// logBytesPerSecond is the sustained rate of log output, logBurstBytes the
	// capacity of the token bucket that enforces it.
	logBytesPerSecond = 48 << 10
	logBurstBytes     = 256 << 10
	// minLineBytes is the number of available bytes below which a line is
	// dropped before it is encoded.
	minLineBytes = 512
	// maxQueuedLines is the number of lines buffered for a slow reader.
	maxQueuedLines = 1024
	// dropReportEvery is the minimum time between two lines that report dropped
	// lines.
	dropReportEvery = clock.Second
)

// NewLogger returns a logger that writes each event as one line of JSON, from
// level info up. If out is a [LogWriter], lines that exceed its rate are
// dropped before they are encoded.
func NewLogger(out zapcore.WriteSyncer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	level := zap.LevelEnablerFunc(zapcore.InfoLevel.Enabled)
	if l, ok := out.(*LogWriter); ok {
		level = func(lvl zapcore.Level) bool { return lvl >= zapcore.InfoLevel && l.hasRoom() }
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, level))
}

// LogWriter passes log lines on and never blocks the code that logs. Lines
// above the byte rate, and lines that don't fit in the queue because the reader
// is slow, are dropped. Their number is reported in a line of its own.
type LogWriter struct {
	clock clock.Clock
	out   io.Writer
	queue chan []byte
	// dropped counts the lines dropped since the last report.
	dropped atomic.Int64
	done    chan struct{}

	mu sync.Mutex
	// tokens is the number of bytes that the rate allowed at refilledAt.
	tokens     int64
	refilledAt clock.Milli
	closed     bool
}

// NewLogWriter returns a LogWriter in front of out and starts its goroutine,
// which [LogWriter.Close] ends.
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

// Write queues one line, or drops and counts it. It always reports success.
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

// hasRoom reports whether the rate allows another line. If not, it counts the
// line as dropped.
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

// refill adds the tokens earned since the last refill. l.mu is held.
func (l *LogWriter) refill() {
	now := l.clock.Now()
	l.tokens = min(logBurstBytes, l.tokens+int64(now-l.refilledAt)*logBytesPerSecond/int64(clock.Second))
	l.refilledAt = now
}

// takeTokens takes n tokens if that many are available, else none. l.mu is
// held.
func (l *LogWriter) takeTokens(n int) bool {
	l.refill()
	if l.tokens < int64(n) {
		return false
	}
	l.tokens -= int64(n)
	return true
}

// Sync does nothing; Close writes the queued lines.
func (l *LogWriter) Sync() error { return nil }

// Close stops taking lines and waits until the queued ones are written, for at
// most 100 ms.
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

// run writes the queued lines and reports the dropped ones. reportedAt is the
// time of the last report. A line whose write fails is lost, since there is
// nowhere to report the error.
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

// reportDropped writes how many lines were dropped since the last report, if
// any.
func (l *LogWriter) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.out, `{"level":"warn","msg":%q,"event":%d,"lines":%d}`+"\n", event.LinesOmitted.Text, event.LinesOmitted.Number, n)
	}
}
