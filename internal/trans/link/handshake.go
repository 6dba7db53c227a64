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

// The proof that opens a connection:
//
//	client -> server  magic, version, id of a fleet key, nonce
//	server -> client  magic, version, nonce, MAC("server")
//	client -> server  MAC("client")
//
// Each MAC is HMAC-SHA256 under the fleet key over its label and both nonces.
// The server proves itself first, so a client gives no proof to a stranger,
// and the labels keep a proof from being sent back. The key of the connection
// is made of the same nonces, so a recorded connection can't be replayed. The
// client's first frame follows its proof at once: a server that has proved the
// key will take the client's proof under it, and a round trip between regions
// is worth saving.
const (
	magic            = "SSKL"
	handshakeVersion = wire.Version
	nonceBytes       = 32
	keyIDBytes       = 8
	macBytes         = sha256.Size
	// MinKeyBytes is the least length of a fleet key in bytes.
	MinKeyBytes = 16

	labelID      = "id"
	labelServer  = "server"
	labelClient  = "client"
	labelSession = "session"
)

var errNoProof = errors.New("no proof of the fleet key")

// checkKeys tells why keys can't be used.
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

func mac(key []byte, label string, parts ...[]byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(label))
	for _, p := range parts {
		m.Write(p)
	}
	return m.Sum(nil)
}

func keyID(key []byte) []byte { return mac(key, labelID)[:keyIDBytes] }

// hello is the start of the first message of each end.
func hello() []byte { return append([]byte(magic), handshakeVersion) }

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

func readFull(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}

// clientHandshake runs the client's side and returns the connection's key.
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

// handshakeError reads a connection that the peer closed during the proof as its
// refusal.
func handshakeError(err error) error {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return newError("prove", Untrusted, errors.New("the peer closed the connection: it has other keys or is full"))
		}
	}
	return err
}

// serverHandshake runs the server's side and returns the connection's key.
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

func findKey(keys [][]byte, id []byte) []byte {
	for _, k := range keys {
		if hmac.Equal(keyID(k), id) {
			return k
		}
	}
	return nil
}
