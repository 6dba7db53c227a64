package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/head"
)

var (
	errLongHead = errors.New("the head is longer than the read buffer")
	errBadHead  = errors.New("the head is malformed")
)

// readHead reads the head of an answer from br into h. Errors are a [*head.Error] or
// errBadHead if it is malformed, errLongHead, or that of the connection.
func readHead(h *fasthttp.ResponseHeader, br *bufio.Reader) error {
	var c head.Checker
	if err := checkLines(&c, br); err != nil {
		return err
	}
	return malformed(h.Read(br))
}

// readTrailer reads the fields behind a body in chunks from br into h. Errors are those
// of readHead.
func readTrailer(h *fasthttp.ResponseHeader, br *bufio.Reader) error {
	if err := checkLines(head.Trailer(), br); err != nil {
		return unexpected(err)
	}
	return malformed(h.ReadTrailer(br))
}

// malformed returns an error of the library, which found all it needs in the buffer, as
// errBadHead.
func malformed(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", errBadHead, err)
}

// checkLines checks with c the lines that br has next, without reading them. It waits
// until all of them are buffered.
func checkLines(c *head.Checker, br *bufio.Reader) error {
	checked := 0
	for {
		b, err := br.Peek(br.Buffered())
		if err != nil {
			return err
		}
		n, err := c.Check(b[checked:])
		if err != nil {
			return err
		}
		checked += n
		if c.IsComplete() {
			return nil
		}
		if err := awaitMore(br); err != nil {
			return err
		}
	}
}

// awaitMore waits until br has buffered more bytes than now.
func awaitMore(br *bufio.Reader) error {
	before := br.Buffered()
	_, err := br.Peek(before + 1)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errLongHead
	case errors.Is(err, io.EOF) && before > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}
