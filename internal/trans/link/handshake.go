package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"syscall"

	"siskinswitch.example/siskin/internal/proto/wire"
)

// The handshake that opens a connection:
//
//	client -> server  magic, version, id of a fleet key, nonce
//	server -> client  magic, version, nonce, MAC("server")
//	client -> server  MAC("client")
//
// Each MAC is HMAC-SHA256 under the fleet key over its label and both nonces,
// and proves that its sender has the key. The server sends its proof first, so
// that a client proves nothing to a server without the key. The labels differ,
// so that neither end can reflect the proof of the other. The key of the
// connection is derived from the same nonces, so a recorded connection can't be
// replayed. The client sends its first frame right after its proof, which saves
// a round trip between regions: a server that has proved the key will accept
// the client's proof under the same key.
const (
	magic            = "SSKL"
	handshakeVersion = wire.Version
	nonceBytes       = 32
	keyIDBytes       = 8
	macBytes         = sha256.Size
	// MinKeyBytes is the least length of a fleet key.
	MinKeyBytes = 16

	labelID      = "id"
	labelServer  = "server"
	labelClient  = "client"
	labelSession = "session"
)

var errNoProof = errors.New("no proof of the fleet key")

// checkKeys returns an error if there is no fleet key or one is too short.
func checkKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return newError("check keys", Config, errors.New("no fleet key"))
	}
	for i, k := range keys {
		if len(k) < MinKeyBytes {
			return newError("check keys", Config, fmt.Errorf("key %d has %d bytes, at least %d are needed", i, len(k), MinKeyBytes))
		}
	}
	return nil
}

// mac returns the HMAC-SHA256 under key of label followed by parts.
func mac(key []byte, label string, parts ...[]byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(label))
	for _, p := range parts {
		m.Write(p)
	}
	return m.Sum(nil)
}

// keyID returns the id by which the client names its fleet key without
// disclosing it.
func keyID(key []byte) []byte { return mac(key, labelID)[:keyIDBytes] }

// hello returns the beginning of the first message of each end.
func hello() []byte { return append([]byte(magic), handshakeVersion) }

// readHello reads the beginning of the peer's first message. It returns an error
// if the peer speaks another protocol or version.
func readHello(r io.Reader) error {
	b := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	if string(b[:len(magic)]) != magic {
		return newError("prove", Untrusted, errors.New("not the protocol of a daemon"))
	}
	if v := b[len(magic)]; v != handshakeVersion {
		return newError("prove", BadVersion, fmt.Errorf("version %d, want %d", v, handshakeVersion))
	}
	return nil
}

// readFull reads exactly n bytes.
func readFull(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}

// clientHandshake performs the client's part of the handshake and returns the
// key of the connection.
func clientHandshake(rw io.ReadWriter, key []byte) ([]byte, error) {
	clientNonce := make([]byte, nonceBytes)
	_, _ = rand.Read(clientNonce) // Never fails.
	first := append(append(hello(), keyID(key)...), clientNonce...)
	if _, err := rw.Write(first); err != nil {
		return nil, handshakeError(err)
	}
	if err := readHello(rw); err != nil {
		return nil, handshakeError(err)
	}
	answer, err := readFull(rw, nonceBytes+macBytes)
	if err != nil {
		return nil, handshakeError(err)
	}
	serverNonce, proof := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(proof, mac(key, labelServer, clientNonce, serverNonce)) {
		return nil, newError("prove", Untrusted, errNoProof)
	}
	if _, err := rw.Write(mac(key, labelClient, clientNonce, serverNonce)); err != nil {
		return nil, handshakeError(err)
	}
	return mac(key, labelSession, clientNonce, serverNonce), nil
}

// handshakeError returns the error for a handshake that failed with err. A
// connection that the peer closed during the handshake counts as refused.
func handshakeError(err error) error {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return newError("prove", Untrusted, errors.New("the peer closed the connection: it has other keys or is full"))
		}
	}
	return err
}

// serverHandshake performs the server's part of the handshake and returns the
// key of the connection.
func serverHandshake(rw io.ReadWriter, keys [][]byte) ([]byte, error) {
	if err := readHello(rw); err != nil {
		return nil, err
	}
	first, err := readFull(rw, keyIDBytes+nonceBytes)
	if err != nil {
		return nil, err
	}
	key := findKey(keys, first[:keyIDBytes])
	if key == nil {
		return nil, newError("prove", Untrusted, errors.New("unknown fleet key"))
	}
	clientNonce, serverNonce := first[keyIDBytes:], make([]byte, nonceBytes)
	_, _ = rand.Read(serverNonce) // Never fails.
	answer := append(append(hello(), serverNonce...), mac(key, labelServer, clientNonce, serverNonce)...)
	if _, err := rw.Write(answer); err != nil {
		return nil, err
	}
	proof, err := readFull(rw, macBytes)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof, mac(key, labelClient, clientNonce, serverNonce)) {
		return nil, newError("prove", Untrusted, errNoProof)
	}
	return mac(key, labelSession, clientNonce, serverNonce), nil
}

// findKey returns the key with the given id, or nil if there is none.
func findKey(keys [][]byte, id []byte) []byte {
	for _, k := range keys {
		if hmac.Equal(keyID(k), id) {
			return k
		}
	}
	return nil
}
