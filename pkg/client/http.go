package client

import (
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// Defaults of an HTTPConfig.
const (
	DefaultConns   = 64
	DefaultConnect = 1 * clock.Second
	DefaultBody    = 8 << 20
)

// HTTPConfig configures an HTTP. Numbers that are zero or less take the defaults.
type HTTPConfig struct {
	// Conns bounds the connections to one daemon.
	Conns int
	// Connect is the timeout for opening a connection.
	Connect clock.Milli
	// Body bounds the body of an answer, in bytes.
	Body int
}

// HTTP sends messages over HTTP/1.1, each of them once: it never retries by itself.
// It is safe for concurrent use.
type HTTP struct {
	client *fasthttp.Client
}

// NewHTTP returns an HTTP that opens connections when they are needed.
func NewHTTP(cfg HTTPConfig) *HTTP {
	cfg.Conns = orElse(cfg.Conns, DefaultConns)
	cfg.Connect = orElse(cfg.Connect, DefaultConnect)
	cfg.Body = orElse(cfg.Body, DefaultBody)
	return &HTTP{client: &fasthttp.Client{
		MaxConnsPerHost:          cfg.Conns,
		MaxResponseBodySize:      cfg.Body,
		NoDefaultUserAgentHeader: true,
		DisablePathNormalizing:   true,
		// The library must never retry by itself.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, cfg.Connect.Duration())
			if err != nil {
				return nil, err
			}
			return &replyConn{Conn: conn}, nil
		},
	}}
}

// Exchange sends m and returns the complete answer. It returns an *Error of kind
// Failed if no complete answer arrives within m.Wait.
func (h *HTTP) Exchange(m Message) (Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + m.Daemon + m.Path)
	req.Header.SetMethod(m.Method)
	for _, f := range m.Fields {
		req.Header.Add(f.Name, f.Value)
	}
	req.SetBody(m.Body)
	if err := h.client.DoTimeout(req, resp, m.Wait.Duration()); err != nil {
		return Reply{}, fail("exchange with "+m.Daemon, Failed, err)
	}
	return replyOf(resp), nil
}

func replyOf(resp *fasthttp.Response) Reply {
	r := Reply{
		Status: resp.StatusCode(),
		Body:   append([]byte(nil), resp.Body()...),
	}
	for name, value := range resp.Header.All() {
		r.Fields = append(r.Fields, Field{
			Name:  string(name),
			Value: string(value),
		})
	}
	return r
}

// replyConn reports io.ErrUnexpectedEOF if the connection ends after the first byte
// of an answer. The library would otherwise accept a body that is delimited only by
// the end of the connection, and which may therefore be incomplete. It reports errStatus
// if the answer has no valid status.
type replyConn struct {
	net.Conn
	// inReply is set from the first byte of an answer until the next message is
	// sent.
	inReply bool
	status  statusCheck
}

// Write implements net.Conn.
func (c *replyConn) Write(b []byte) (int, error) {
	c.inReply = false
	c.status = statusCheck{}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *replyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.inReply = true
	}
	if broken := c.status.add(b[:n]); broken != nil {
		return 0, broken
	}
	if errors.Is(err, io.EOF) && c.inReply {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
