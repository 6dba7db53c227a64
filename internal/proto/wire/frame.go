package wire

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
)

const (
	lengthBytes  = 4
	versionBytes = 1
	macBytes     = 16
	prefixBytes  = lengthBytes + versionBytes + macBytes
	// maxReusedBytes is the capacity above which a buffer is released rather
	// than reused for the next frame.
	maxReusedBytes = 64 << 10
)

// Directions of a frame, as the MAC covers them.
const (
	toServer byte = iota
	toClient
)

// framer reads and writes frames. One goroutine may read while another one
// writes, but there must not be two readers or two writers.
type framer struct {
	cfg    Config
	r      *bufio.Reader
	inMAC  frameMAC
	outMAC frameMAC
	buf    bytes.Buffer
}

func newFramer(cfg Config, read, write byte) *framer {
	cfg = cfg.withDefaults()
	return &framer{
		cfg:    cfg,
		r:      bufio.NewReader(cfg.Conn),
		inMAC:  newFrameMAC(cfg.Key, read),
		outMAC: newFrameMAC(cfg.Key, write),
	}
}

// read returns the content of the next frame, which is valid until the next
// call. It returns io.EOF if the connection ended between two frames.
func (f *framer) read() ([]byte, error) {
	f.cfg.BeforeWait()
	if _, err := f.r.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, readError(Broken, err)
	}
	f.cfg.FrameStarted()
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(f.r, prefix[:lengthBytes+versionBytes]); err != nil {
		return nil, readError(Broken, err)
	}
	n := int64(binary.BigEndian.Uint32(prefix[:])) - versionBytes - macBytes
	if n > int64(f.cfg.Limit) {
		return nil, readError(TooLarge, fmt.Errorf("%d bytes, limit %d", n, f.cfg.Limit))
	}
	if v := prefix[lengthBytes]; v != Version {
		return nil, readError(BadVersion, fmt.Errorf("version %d, want %d", v, Version))
	}
	if n < 0 {
		return nil, readError(Format, errors.New("frame too short"))
	}
	if _, err := io.ReadFull(f.r, prefix[lengthBytes+versionBytes:]); err != nil {
		return nil, readError(Broken, err)
	}
	return f.readContent(n, prefix[lengthBytes+versionBytes:])
}

// readContent reads n bytes of content and checks their MAC. It allocates memory
// only as the bytes arrive.
func (f *framer) readContent(n int64, mac []byte) ([]byte, error) {
	if f.buf.Cap() > maxReusedBytes {
		f.buf = bytes.Buffer{}
	}
	f.buf.Reset()
	if _, err := io.CopyN(&f.buf, f.r, n); err != nil {
		return nil, readError(Broken, err)
	}
	content := f.buf.Bytes()
	if !hmac.Equal(f.inMAC.next(content), mac) {
		return nil, readError(BadMAC, errors.New("MAC does not match"))
	}
	return content, nil
}

// write sends one frame with the given header and body.
func (f *framer) write(h header, body any) error {
	frame := bytes.NewBuffer(make([]byte, prefixBytes, 256))
	enc := encMode.NewEncoder(frame)
	if err := errors.Join(enc.Encode(h), enc.Encode(body)); err != nil {
		return writeError(Encode, err)
	}
	data := frame.Bytes()
	if n := len(data) - prefixBytes; n > f.cfg.Limit {
		return writeError(TooLarge, fmt.Errorf("%d bytes, limit %d", n, f.cfg.Limit))
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthBytes))
	data[lengthBytes] = Version
	copy(data[lengthBytes+versionBytes:], f.outMAC.next(data[prefixBytes:]))
	f.cfg.BeforeWrite()
	if _, err := f.cfg.Conn.Write(data); err != nil {
		return writeError(Broken, err)
	}
	return nil
}

// frameMAC computes the MACs of the frames in one direction of a connection.
type frameMAC struct {
	hash      hash.Hash
	direction byte
	seq       uint64
	sum       []byte
}

func newFrameMAC(key []byte, direction byte) frameMAC {
	return frameMAC{
		hash:      hmac.New(sha256.New, key),
		direction: direction,
	}
}

// next returns the MAC of the next frame. The result is valid until the next
// call.
func (m *frameMAC) next(content []byte) []byte {
	var prefix [1 + 8 + versionBytes]byte
	prefix[0] = m.direction
	binary.BigEndian.PutUint64(prefix[1:], m.seq)
	prefix[len(prefix)-1] = Version
	m.seq++
	m.hash.Reset()
	m.hash.Write(prefix[:])
	m.hash.Write(content)
	m.sum = m.hash.Sum(m.sum[:0])
	return m.sum[:macBytes]
}

func readError(kind Kind, err error) error {
	return &Error{
		Op:   "read frame",
		Kind: kind,
		Err:  err,
	}
}

func writeError(kind Kind, err error) error {
	return &Error{
		Op:   "write frame",
		Kind: kind,
		Err:  err,
	}
}
