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
	// deltaMagic identifies the format and its version.
	deltaMagic = "skd1"
	// baseBytes is the length of the prefix of the old document's SHA-256 that
	// identifies the base of a delta.
	baseBytes = 8
	// headerBytes is the length of everything before the operations.
	headerBytes = len(deltaMagic) + baseBytes + sha256.Size
	// maxOperationBytes bounds the operations of a delta after decompression.
	// It leaves room for a document that is sent whole.
	maxOperationBytes = MaxSize + 1<<16
)

// Parameters of the search for matches.
const (
	// blockBytes is the length of the indexed blocks of the old document.
	blockBytes = 16
	// minMatchBytes is the shortest match for which a copy saves space.
	minMatchBytes = 8
	// maxCandidates bounds the blocks with equal content that are compared.
	maxCandidates = 8
)

// Diff returns a delta with which [Apply] turns from into to. A delta from an
// empty document holds the whole of to, compressed.
//
// A delta consists of the magic, the first bytes of the SHA-256 of from, the
// SHA-256 of to, and a list of operations compressed with DEFLATE. Each
// operation starts with an unsigned varint n. If n is even, it inserts the n/2
// bytes that follow. If n is odd, it copies n/2 bytes of the old document; a
// signed varint follows with the distance of their start from the end of the
// previous copy. In a document with few changes the copies are close to each
// other, which keeps these distances short.
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

// Apply returns the document that delta makes of from. The result always has the
// SHA-256 that the delta states. The error is an [*Error] of [KindBase] if the
// delta was made against another document, and of [KindDelta] if the delta is
// damaged.
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
		return nil, deltaError(errors.New("the operations exceed the limit for a document"))
	}
	doc, err := applyOperations(from, ops)
	if err != nil {
		return nil, deltaError(err)
	}
	if got := sha256.Sum256(doc); !bytes.Equal(got[:], sum) {
		return nil, deltaError(errors.New("the digest of the result differs from the stated one"))
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

// applyOperations returns the document that the operations make of from.
func applyOperations(from, ops []byte) ([]byte, error) {
	var doc []byte
	copyEnd := int64(0)
	for len(ops) > 0 {
		n, size := binary.Uvarint(ops)
		if size <= 0 || n/2 > uint64(MaxSize-len(doc)) {
			return nil, errors.New("an operation has an invalid length")
		}
		ops = ops[size:]
		length := int64(n / 2)
		if n%2 == 0 {
			if length > int64(len(ops)) {
				return nil, errors.New("an insert is longer than the rest of the delta")
			}
			doc = append(doc, ops[:length]...)
			ops = ops[length:]
			continue
		}
		distance, size := binary.Varint(ops)
		start := copyEnd + distance
		if size <= 0 || start < 0 || start > int64(len(from))-length {
			return nil, errors.New("a copy reaches outside the old document")
		}
		ops = ops[size:]
		copyEnd = start + length
		doc = append(doc, from[start:copyEnd]...)
	}
	return doc, nil
}
