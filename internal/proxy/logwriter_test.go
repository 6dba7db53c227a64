package proxy

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"siskinswitch.example/siskin/pkg/clock"
)

// blockedWriter blocks each write until release is closed, like a pipe whose
// reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLinesNeverBlock(t *testing.T) {
	s := blockedWriter{
		release: make(chan struct{}),
	}
	l := NewLogWriter(s, clock.System())
	done := make(chan struct{})
	go func() {
		for range 5 * maxQueuedLines {
			_, _ = l.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Fatal("Write blocked on a reader that does not read")
	}
	if l.dropped.Load() == 0 {
		t.Error("no line was counted as dropped")
	}
	close(s.release)
	l.Close()
}

// syncBuffer is a bytes.Buffer for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	fake := clock.NewFake(0)
	out := &syncBuffer{}
	l := NewLogWriter(out, fake.Clock())
	line := bytes.Repeat([]byte("x"), 1024)
	for range 2 * logBurstBytes / len(line) {
		_, _ = l.Write(line)
	}
	fake.Advance(2 * clock.Second)
	_, _ = l.Write([]byte("last\n"))
	l.Close()
	text := out.String()
	if len(text) > logBurstBytes+logBytesPerSecond {
		t.Errorf("%d bytes written in one burst, limit %d", len(text), logBurstBytes)
	}
	if !strings.Contains(text, `"event":502,"lines":256`) {
		t.Errorf("the dropped lines are not reported: %q", text[max(0, len(text)-200):])
	}
}

// encodeCounter is a log field that counts how often it is encoded.
type encodeCounter struct{ n *int }

func (m encodeCounter) MarshalLogObject(zapcore.ObjectEncoder) error {
	*m.n++
	return nil
}

func TestLinesBeyondTheRateAreNotMade(t *testing.T) {
	fake := clock.NewFake(0)
	out := &syncBuffer{}
	l := NewLogWriter(out, fake.Clock())
	log := NewLogger(l)
	for l.hasRoom() {
		_, _ = l.Write(bytes.Repeat([]byte("x"), 256))
	}
	before := l.dropped.Load()
	n := 0
	for range 10 {
		log.Info("a line", zap.Object("made", encodeCounter{n: &n}))
	}
	if n != 0 {
		t.Errorf("%d lines were encoded above the rate", n)
	}
	if got := l.dropped.Load() - before; got != 10 {
		t.Errorf("%d lines were counted as dropped, want 10", got)
	}
	fake.Advance(clock.Second)
	log.Info("a line", zap.Object("made", encodeCounter{n: &n}))
	if n != 1 {
		t.Errorf("%d lines were encoded within the rate, want 1", n)
	}
	l.Close()
}
