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
	lengthSize  = 4
	versionSize = 1
	macSize     = 16
	prefixSize  = lengthSize + versionSize + macSize
	// keepLimit is the size above which a buffer is not kept for the next frame.
	keepLimit = 64 << 10
)

// Directions of a frame.
const (
	toServer byte = iota
	toClient
)

// framer reads and writes frames. Reading and writing may go on at once, but
// there must be one reader and one writer.
type framer struct {
	cfg Config
	r   *bufio.Reader
	in  sealer
	out sealer
	buf bytes.Buffer
}

func newFramer(cfg Config, read, write byte) *framer {
	cfg = cfg.withDefaults()
	return &framer{
		cfg: cfg,
		r:   bufio.NewReader(cfg.Conn),
		in:  newSealer(cfg.Key, read),
		out: newSealer(cfg.Key, write),
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
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(f.r, prefix[:lengthSize+versionSize]); err != nil {
		return nil, readError(Broken, err)
	}
	n := int64(binary.BigEndian.Uint32(prefix[:])) - versionSize - macSize
	if n > int64(f.cfg.Limit) {
		return nil, readError(TooLarge, fmt.Errorf("%d bytes, limit %d", n, f.cfg.Limit))
	}
	if v := prefix[lengthSize]; v != Version {
		return nil, readError(BadVersion, fmt.Errorf("version %d, want %d", v, Version))
	}
	if n < 0 {
		return nil, readError(Format, errors.New("frame too short"))
	}
	if _, err := io.ReadFull(f.r, prefix[lengthSize+versionSize:]); err != nil {
		return nil, readError(Broken, err)
	}
	return f.readContent(n, prefix[lengthSize+versionSize:])
}

// readContent reads n bytes, taking memory only as they come.
func (f *framer) readContent(n int64, mac []byte) ([]byte, error) {
	if f.buf.Cap() > keepLimit {
		f.buf = bytes.Buffer{}
	}
	f.buf.Reset()
	if _, err := io.CopyN(&f.buf, f.r, n); err != nil {
		return nil, readError(Broken, err)
	}
	content := f.buf.Bytes()
	if !hmac.Equal(f.in.seal(content), mac) {
		return nil, readError(BadMAC, errors.New("MAC does not match"))
	}
	return content, nil
}

// write sends one frame of the given header and body.
func (f *framer) write(h header, body any) error {
	frame := bytes.NewBuffer(make([]byte, prefixSize, 256))
	enc := encMode.NewEncoder(frame)
	if err := errors.Join(enc.Encode(h), enc.Encode(body)); err != nil {
		return writeError(Encode, err)
	}
	data := frame.Bytes()
	if n := len(data) - prefixSize; n > f.cfg.Limit {
		return writeError(TooLarge, fmt.Errorf("%d bytes, limit %d", n, f.cfg.Limit))
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthSize))
	data[lengthSize] = Version
	copy(data[lengthSize+versionSize:], f.out.seal(data[prefixSize:]))
	f.cfg.BeforeWrite()
	if _, err := f.cfg.Conn.Write(data); err != nil {
		return writeError(Broken, err)
	}
	return nil
}

// sealer makes the MACs of one direction of a connection, frame by frame.
type sealer struct {
	mac       hash.Hash
	direction byte
	n         uint64
	sum       []byte
}

func newSealer(key []byte, direction byte) sealer {
	return sealer{
		mac:       hmac.New(sha256.New, key),
		direction: direction,
	}
}

// seal returns the MAC of the next frame. It is valid until the next call.
func (s *sealer) seal(content []byte) []byte {
	var prefix [1 + 8 + versionSize]byte
	prefix[0] = s.direction
	binary.BigEndian.PutUint64(prefix[1:], s.n)
	prefix[len(prefix)-1] = Version
	s.n++
	s.mac.Reset()
	s.mac.Write(prefix[:])
	s.mac.Write(content)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:macSize]
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
