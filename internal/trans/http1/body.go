package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/hold"
)

// Lengths of bodies that have no number of bytes, as the library returns them.
const (
	lengthChunked    = -1
	lengthUntilClose = -2
)

const (
	// firstBodyBytes is the first allocation for a body of unknown length.
	firstBodyBytes = 4 << 10
	// maxTrustedBytes is the declared length up to which a body is allocated at
	// once. Beyond it, memory follows the bytes that arrive.
	maxTrustedBytes = 64 << 10
)

var (
	errNoMemory = errors.New("no memory for the message")
	errBadBody  = errors.New("the body is malformed")
)

// readBody reads the body of a message whose header was read from br. Its bytes
// are taken from h; those of a body that can't be read completely are returned.
// It does not read the trailer of a chunked body. Errors are
// [fasthttp.ErrBodyTooLarge] beyond limit bytes, errNoMemory, errBadBody, or
// that of the connection.
func readBody(br *bufio.Reader, length, limit int, h *hold.Hold) ([]byte, error) {
	if length > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	b := body{
		hold:  h,
		limit: limit,
	}
	var err error
	switch {
	case length >= 0:
		err = b.readLength(br, length)
	case length == lengthChunked:
		err = b.readAll(httputil.NewChunkedReader(br))
		if isMalformed(err) {
			err = fmt.Errorf("%w: %w", errBadBody, err)
		}
	default:
		err = b.readAll(br)
	}
	if err != nil {
		h.Shrink(cap(b.bytes))
		return nil, err
	}
	return b.bytes, nil
}

// body is a body that is being read. Its capacity is taken from the hold.
type body struct {
	bytes []byte
	hold  *hold.Hold
	limit int
}

// readLength reads length bytes.
func (b *body) readLength(r io.Reader, length int) error {
	for len(b.bytes) < length {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(min(length, max(maxTrustedBytes, 2*cap(b.bytes)))); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):min(length, cap(b.bytes))])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == nil || len(b.bytes) == length {
			continue
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}

// readAll reads until r ends.
func (b *body) readAll(r io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(max(firstBodyBytes, 2*cap(b.bytes))); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case len(b.bytes) > b.limit:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow moves the body to a buffer of the given capacity.
func (b *body) grow(capacity int) error {
	if !b.hold.Grow(capacity - cap(b.bytes)) {
		return errNoMemory
	}
	grown := make([]byte, len(b.bytes), capacity)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// isMalformed reports whether reading a chunked body failed for its contents
// rather than for the connection or a bound.
func isMalformed(err error) bool {
	var network net.Error
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed),
		errors.Is(err, errNoMemory), errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &network):
		return false
	}
	return true
}
