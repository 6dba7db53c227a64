package config

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestApplyDiff checks that Apply restores the new document from a delta, whether
// or not the documents share text.
func TestApplyDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := []byte(rapid.StringMatching(`([a-f]{0,9}\n){0,60}`).Draw(t, "old"))
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		for range rapid.IntRange(0, 5).Draw(t, "pieces") {
			start := rapid.IntRange(0, len(old)).Draw(t, "start")
			end := rapid.IntRange(start, len(old)).Draw(t, "end")
			text = append(text, old[start:end]...)
			text = append(text, rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "more")...)
		}
		delta, err := Diff(old, text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(old, delta)
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("Apply = %q, %v, want %q", got, err, text)
		}
		if _, err := Apply(append(old, 'x'), delta); kindOf(err) != KindBase {
			t.Errorf("Apply to another base: %v", err)
		}
	})
}

// TestApplyRefusesDamage changes each byte of a delta in turn and truncates the
// delta at each length. Apply must never return another document.
func TestApplyRefusesDamage(t *testing.T) {
	old := []byte(minimalDocument)
	next := bytes.Replace(old, []byte(`"slots": 5`), []byte(`"slots": 6`), 1)
	delta, err := Diff(old, next)
	if err != nil {
		t.Fatal(err)
	}
	for n := range delta {
		bad := bytes.Clone(delta)
		bad[n] ^= 0x41
		if got, err := Apply(old, bad); err == nil && !bytes.Equal(got, next) {
			t.Errorf("byte %d changed: got another document", n)
		}
		if got, err := Apply(old, delta[:n]); err == nil && !bytes.Equal(got, next) {
			t.Errorf("truncated at %d: got another document", n)
		}
	}
}

func TestApplyIsBounded(t *testing.T) {
	old := bytes.Repeat([]byte{'x'}, MaxSize)
	// Operation 2*MaxSize+1 at distance 0 copies the whole document. Two such
	// copies exceed the size of a document.
	whole := []byte{0x81, 0x80, 0x80, 0x01, 0x00}
	again := []byte{0x81, 0x80, 0x80, 0x01, 0xff, 0xff, 0x7f}
	if got, err := applyOperations(old, whole); err != nil || len(got) != MaxSize {
		t.Errorf("one copy: %d bytes, %v", len(got), err)
	}
	if _, err := applyOperations(old, append(whole, again...)); err == nil {
		t.Error("two copies of the largest document were not refused")
	}
	if _, err := Diff(old, append(old, 'x')); kindOf(err) != KindTooLarge {
		t.Errorf("Diff of a document too large: %v", err)
	}
}

// TestDeltaSize checks that the delta for a change of one instance among 780
// stays within a few hundred bytes.
func TestDeltaSize(t *testing.T) {
	const limit = 500
	r := rand.New(rand.NewPCG(1, 2))
	for round := range 20 {
		old, next := &bytes.Buffer{}, &bytes.Buffer{}
		changed := r.IntN(780)
		fmt.Fprintf(old, "{\"version\": %d, \"parent\": \"%s\", \"author\": \"awa\",\n", 7, Digest([]byte{1}))
		fmt.Fprintf(next, "{\"version\": %d, \"parent\": \"%s\", \"author\": \"badou\",\n", 8, Digest([]byte{2}))
		for n := range 780 {
			line := fmt.Sprintf("  {\"name\":\"service-%d\",\"host\":\"10.0.%d.%d\",\"slots\":130,\"conns\":900},\n", n, n/256, n%256)
			old.WriteString(line)
			if n == changed {
				line = fmt.Sprintf("  {\"name\":\"service-%d\",\"host\":\"10.7.%d.%d\",\"slots\":65,\"conns\":900},\n", n, n/256, n%256)
			}
			next.WriteString(line)
		}
		delta, err := Diff(old.Bytes(), next.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		if len(delta) > limit {
			t.Errorf("round %d: the delta has %d bytes, more than %d", round, len(delta), limit)
		}
	}
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func FuzzApply(f *testing.F) {
	old := []byte(minimalDocument)
	delta, err := Diff(old, bytes.Replace(old, []byte("shop"), []byte("mall"), 3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(old, delta)
	f.Add([]byte{}, delta)
	f.Add(old, []byte(deltaMagic))
	f.Fuzz(func(t *testing.T, old, delta []byte) {
		if len(old) > MaxSize {
			return
		}
		// Also apply the operations without the digest check, which nearly
		// every random input would fail.
		if doc, err := applyOperations(old, delta); err == nil && len(doc) > MaxSize {
			t.Errorf("rebuild made %d bytes", len(doc))
		}
		if doc, err := Apply(old, delta); err == nil && len(doc) > MaxSize {
			t.Errorf("Apply made %d bytes", len(doc))
		}
	})
}

func BenchmarkDiff(b *testing.B) {
	var old bytes.Buffer
	for n := range 9000 {
		fmt.Fprintf(&old, "  {\"name\":\"service-%d\",\"host\":\"10.0.%d.%d\",\"slots\":130,\"conns\":900},\n", n, n/256, n%256)
	}
	next := bytes.Replace(old.Bytes(), []byte("service-500\""), []byte("service-x\""), 1)
	b.SetBytes(int64(old.Len()))
	for b.Loop() {
		if _, err := Diff(old.Bytes(), next); err != nil {
			b.Fatal(err)
		}
	}
}
