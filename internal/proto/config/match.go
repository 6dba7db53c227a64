package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// encodeOperations returns the operations that turn from into to.
func encodeOperations(from, to []byte) []byte {
	m := &matcher{
		from:  from,
		to:    to,
		index: indexBlocks(from),
	}
	for m.pos < len(to) {
		start, length := m.longestMatch()
		if length < minMatchBytes {
			m.pos++
			continue
		}
		m.copy(start, length)
	}
	m.insert()
	return m.out
}

// matcher scans the new document and writes the operations.
type matcher struct {
	from  []byte
	to    []byte
	index map[uint64][]int
	out   []byte
	// pos is the current position in to, written the end of the part of to that
	// the operations cover.
	pos     int
	written int
	// copyEnd is the end in from of the previous copy.
	copyEnd int
}

// indexBlocks returns the positions of the aligned blocks of from by their hash.
func indexBlocks(from []byte) map[uint64][]int {
	index := make(map[uint64][]int, len(from)/blockBytes)
	for start := 0; start+blockBytes <= len(from); start += blockBytes {
		hash := xxhash.Sum64(from[start : start+blockBytes])
		if len(index[hash]) < maxCandidates {
			index[hash] = append(index[hash], start)
		}
	}
	return index
}

// longestMatch returns the longest match found for the text at m.pos. The
// candidates are the position where the previous copy would continue and the
// indexed blocks with the same hash.
func (m *matcher) longestMatch() (start, length int) {
	start = m.copyEnd + m.pos - m.written
	length = m.matchLength(start)
	if m.pos+blockBytes > len(m.to) {
		return start, length
	}
	hash := xxhash.Sum64(m.to[m.pos : m.pos+blockBytes])
	for _, candidate := range m.index[hash] {
		if n := m.matchLength(candidate); n > length {
			start, length = candidate, n
		}
	}
	return start, length
}

// matchLength returns how many bytes at start in from equal those at m.pos.
func (m *matcher) matchLength(start int) int {
	n := 0
	for start+n < len(m.from) && m.pos+n < len(m.to) && m.from[start+n] == m.to[m.pos+n] {
		n++
	}
	return n
}

// copy writes a copy after extending it backwards over text that no
// operation covers yet.
func (m *matcher) copy(start, length int) {
	for m.pos > m.written && start > 0 && m.from[start-1] == m.to[m.pos-1] {
		m.pos--
		start--
		length++
	}
	m.insert()
	m.out = binary.AppendUvarint(m.out, uint64(length)*2+1)
	m.out = binary.AppendVarint(m.out, int64(start-m.copyEnd))
	m.pos += length
	m.written = m.pos
	m.copyEnd = start + length
}

// insert writes the text before m.pos that no operation covers yet.
func (m *matcher) insert() {
	if m.pos == m.written {
		return
	}
	m.out = binary.AppendUvarint(m.out, uint64(m.pos-m.written)*2)
	m.out = append(m.out, m.to[m.written:m.pos]...)
	m.written = m.pos
}
