package config

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Layout of a delta.
const (
	// deltaMagic names the format and its version.
	deltaMagic = "skd1"
	// baseBytes is the length of the part of the old document's SHA-256 that
	// tells one base from another, in bytes.
	baseBytes = 8
	// headerBytes is the length of everything before the operations.
	headerBytes = len(deltaMagic) + baseBytes + sha256.Size
	// maxOperationBytes is the size of the operations of a delta after inflating,
	// in bytes. It leaves room for a document that is sent whole.
	maxOperationBytes = MaxSize + 1<<16
)

// Sizes used in the search for matches, in bytes.
const (
	// blockBytes is the length of the pieces of the old document that are indexed.
	blockBytes = 16
	// minMatchBytes is the shortest match that is worth a copy.
	minMatchBytes = 8
	// maxCandidates is the number of equal blocks that are tried.
	maxCandidates = 8
)

// Diff returns a delta from which [Apply] makes to out of from. Diff against
// an empty document gives to whole, compressed.
//
// A delta is the magic, the first bytes of the SHA-256 of from, the SHA-256 of
// to, and then, deflated, a list of operations. An operation is a varint n.
// If n is even, n/2 bytes follow, which are new text. If n is odd, a signed
// varint follows, and n/2 bytes are copied from the old document; it says where,
// counted from the end of the copy before. Copies follow each other closely in
// a document of which little has changed, so that these distances are short.
func Diff(from, to []byte) ([]byte, error) {
	if len(from) > MaxSize || len(to) > MaxSize {
		return nil, &Error{
			Op:   opDiff,
			Kind: KindTooLarge,
			Err:  fmt.Errorf("documents of %d and %d bytes, more than %d", len(from), len(to), MaxSize),
		}
	}
	base := sha256.Sum256(from)
	sum := sha256.Sum256(to)
	out := bytes.NewBufferString(deltaMagic)
	out.Write(base[:baseBytes])
	out.Write(sum[:])
	w, err := flate.NewWriter(out, flate.BestCompression)
	if err != nil {
		return nil, &Error{
			Op:   opDiff,
			Kind: KindDelta,
			Err:  err,
		}
	}
	// Writes to a buffer cannot fail.
	_, _ = w.Write(encodeOperations(from, to))
	_ = w.Close()
	return out.Bytes(), nil
}

// Apply makes the new document out of from and delta. It returns only a
// document whose SHA-256 is the one that the delta states. The error is an
// [*Error] of [KindBase] if the delta was made against another document, and
// of [KindDelta] if it is damaged.
func Apply(from, delta []byte) ([]byte, error) {
	if len(delta) < headerBytes || string(delta[:len(deltaMagic)]) != deltaMagic {
		return nil, deltaError(errors.New("not a delta"))
	}
	base, sum := delta[len(deltaMagic):headerBytes-sha256.Size], delta[headerBytes-sha256.Size:headerBytes]
	have := sha256.Sum256(from)
	if !bytes.Equal(base, have[:baseBytes]) {
		return nil, &Error{
			Op:   opApply,
			Kind: KindBase,
			Err:  fmt.Errorf("made against %x, not %x", base, have[:baseBytes]),
		}
	}
	r := flate.NewReader(bytes.NewReader(delta[headerBytes:]))
	ops, err := io.ReadAll(io.LimitReader(r, maxOperationBytes+1))
	if err != nil {
		return nil, deltaError(err)
	}
	if len(ops) > maxOperationBytes {
		return nil, deltaError(errors.New("more operations than a document can need"))
	}
	doc, err := applyOperations(from, ops)
	if err != nil {
		return nil, deltaError(err)
	}
	if got := sha256.Sum256(doc); !bytes.Equal(got[:], sum) {
		return nil, deltaError(errors.New("the result has another digest than stated"))
	}
	return doc, nil
}

func deltaError(err error) error {
	return &Error{
		Op:   opApply,
		Kind: KindDelta,
		Err:  err,
	}
}

// applyOperations carries out the operations on from.
func applyOperations(from, ops []byte) ([]byte, error) {
	var doc []byte
	copyEnd := int64(0)
	for len(ops) > 0 {
		n, size := binary.Uvarint(ops)
		if size <= 0 || n/2 > uint64(MaxSize-len(doc)) {
			return nil, errors.New("an operation has no valid length")
		}
		ops = ops[size:]
		length := int64(n / 2)
		if n%2 == 0 {
			if length > int64(len(ops)) {
				return nil, errors.New("new text is cut short")
			}
			doc = append(doc, ops[:length]...)
			ops = ops[length:]
			continue
		}
		distance, size := binary.Varint(ops)
		start := copyEnd + distance
		if size <= 0 || start < 0 || start > int64(len(from))-length {
			return nil, errors.New("a copy lies outside the old document")
		}
		ops = ops[size:]
		copyEnd = start + length
		doc = append(doc, from[start:copyEnd]...)
	}
	return doc, nil
}
