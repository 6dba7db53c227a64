// Package wire carries net/rpc between daemons as CBOR in bounded frames.
//
// A frame is
//
//	length   4 bytes, big endian, of what follows
//	version  1 byte
//	mac      16 bytes
//	header   CBOR array: sequence number, method, error
//	body     CBOR, any message type
//
// The length is compared with a limit before anything is read, memory grows
// only with the bytes that really come, and the CBOR decoder has limits of its
// own for elements and nesting. The MAC is HMAC-SHA256 under a key of the
// connection, over the direction, the number of the frame and its content, so
// frames can be neither altered nor replayed, reordered or sent back. A frame
// of an unknown version is refused before its content is looked at.
//
// The codecs know nothing of the messages that they carry. Unknown fields of a
// message are ignored, so that a newer daemon may add some.
package wire

import (
	"errors"
	"fmt"
	"io"
)

const (
	// Version is the version of the frame format.
	Version = 1
	// DefaultLimit bounds a frame. It leaves room for a configuration value
	// of a megabyte and what goes with it.
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
	// BadVersion means that a frame has a version that is not spoken here.
	BadVersion
	// BadMAC means that a frame was not made by the other end of the connection.
	BadMAC
	// Format means that the content of a frame could not be decoded.
	Format
	// Encode means that a message could not be encoded. Nothing was sent.
	Encode
)

// Error is the error type of this package.
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
	// BeforeWait is called before waiting for a frame, Begin when its first bytes
	// have come, and Write before one is written. They set deadlines.
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
