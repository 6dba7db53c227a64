// Package wire carries net/rpc between daemons as CBOR in frames of bounded
// size.
//
// A frame consists of
//
//	length   4 bytes, big endian, the length of the rest of the frame
//	version  1 byte
//	mac      16 bytes
//	header   CBOR array: sequence number, method, error
//	body     CBOR, any message type
//
// The reader checks the length against a limit before it reads on, allocates
// memory only as bytes arrive, and limits the number of elements and the nesting
// of the CBOR content. The MAC is a truncated HMAC-SHA256 under the key of the
// connection, over the direction, the number of the frame and its content.
// Therefore frames cannot be altered, replayed, reordered or reflected to their
// sender. A frame of an unknown version is refused before its content is read.
//
// The codecs are independent of the messages that they carry. Unknown fields of
// a message are ignored, so that newer daemons can add fields.
package wire

import (
	"errors"
	"fmt"
	"io"
)

const (
	// Version is the version of the frame format.
	Version = 1
	// DefaultLimit bounds a frame in bytes. It has room for a configuration of
	// a megabyte and the fields around it.
	DefaultLimit = 1<<20 + 1<<16
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Broken means that the connection ended or failed.
	Broken Kind = iota + 1
	// TooLarge means that a frame exceeds the limit.
	TooLarge
	// BadVersion means that the version of a frame is not supported.
	BadVersion
	// BadMAC means that the MAC does not match: the other end of the connection
	// did not make this frame, or not as the next one.
	BadMAC
	// Format means that the content of a frame could not be decoded.
	Format
	// Encode means that a message could not be encoded. Nothing was sent.
	Encode
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("wire: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an error of this package of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Config configures a codec.
type Config struct {
	// Conn is the connection. Closing the codec closes it.
	Conn io.ReadWriteCloser
	// Limit bounds a frame in bytes; zero means [DefaultLimit].
	Limit int
	// Key is the key of this connection. Both ends must have the same.
	Key []byte
	// BeforeWait is called before the codec waits for a frame, FrameStarted when
	// the first bytes of a frame have arrived, and BeforeWrite before a frame is
	// written. They set deadlines on the connection and may be nil.
	BeforeWait   func()
	FrameStarted func()
	BeforeWrite  func()
}

func (c Config) withDefaults() Config {
	if c.Limit == 0 {
		c.Limit = DefaultLimit
	}
	if c.BeforeWait == nil {
		c.BeforeWait = func() {}
	}
	if c.FrameStarted == nil {
		c.FrameStarted = func() {}
	}
	if c.BeforeWrite == nil {
		c.BeforeWrite = func() {}
	}
	return c
}
