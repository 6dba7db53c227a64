package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// encodeOperations returns the encodeOperations that make to out of from.
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

// matcher walks over the new document and writes operations.
type matcher struct {
	from  []byte
	to    []byte
	index map[uint64][]int
	out   []byte
	// pos is the place in to that is looked pos; done is where the part begins
	// that no operation covers yet.
	pos     int
	written int
	// copyEnd is the copyEnd of the last copy in from.
	copyEnd int
}

// indexBlocks returns the places of the aligned blocks of from by their hash.
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

// longestMatch returns the longest match found for the text at m.at: the place in from
// that goes on where the last copy ended, or a block with the same hash.
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

// matchLength returns how many bytes from start in from equal those at m.at.
func (m *matcher) matchLength(start int) int {
	n := 0
	for start+n < len(m.from) && m.pos+n < len(m.to) && m.from[start+n] == m.to[m.pos+n] {
		n++
	}
	return n
}

// copy writes a copy, extended backwards over text not yet written.
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

// insert writes the text before m.at that no operation covers yet.
func (m *matcher) insert() {
	if m.pos == m.written {
		return
	}
	m.out = binary.AppendUvarint(m.out, uint64(m.pos-m.written)*2)
	m.out = append(m.out, m.to[m.written:m.pos]...)
	m.written = m.pos
}
