package ctl

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/proto/head"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// daemonReport is a report read from a daemon's operator interface.
type daemonReport interface {
	Header() admin.Head
}

// client reads reports from the operator interfaces of daemons. It never
// retries: reports list a daemon without an answer as missing.
type client struct {
	http *fasthttp.Client
	wait time.Duration
}

func newClient(wait time.Duration) *client {
	return &client{
		wait: wait,
		http: &fasthttp.Client{
			Name:                      "siskinctl",
			MaxResponseBodySize:       admin.MaxAnswer,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			Dial: func(addr string) (net.Conn, error) {
				conn, err := fasthttp.DialTimeout(addr, wait)
				if err != nil {
					return nil, err
				}
				return &checkedConn{
					Conn: conn,
				}, nil
			},
		},
	}
}

// checkedConn is a connection on which a malformed head of an answer is an error. The
// library takes the status 000 for 200.
type checkedConn struct {
	net.Conn
	heads head.Stream
}

// Write begins a request or goes on with it.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.heads.Begin()
	return c.Conn.Write(b)
}

// Read reads a part of an answer.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if broken := c.heads.Check(b[:n]); broken != nil {
		return 0, broken
	}
	return n, err
}

// get returns the body of the answer to a GET request. The error is always of
// kind KindNoAnswer.
func (c *client) get(addr, path string) ([]byte, error) {
	const op = "get"
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	err := c.http.DoTimeout(req, resp, c.wait)
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return nil, noAnswerError(op, "no answer within %s", c.wait)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return nil, noAnswerError(op, "the answer is larger than %d bytes", admin.MaxAnswer)
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, noAnswerError(op, "connection refused")
	case err != nil:
		return nil, noAnswerError(op, "%w", err)
	case resp.StatusCode() != fasthttp.StatusOK:
		return nil, noAnswerError(op, "answered with status %d", resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// readReport reads a report from the daemon beside t. It rejects a report in
// another format and one from a daemon with another name, since another daemon
// may have taken over the address. The error is always of kind KindNoAnswer.
func readReport[T daemonReport](c *client, t *rules.Target, path string, report *T) error {
	const op = "read"
	data, err := c.get(operatorAddr(t), path)
	if err != nil {
		return err
	}
	var head admin.Head
	if err := json.Unmarshal(data, &head); err != nil {
		return noAnswerError(op, "the answer is not a report")
	}
	if head.Format != admin.Format {
		return noAnswerError(op, "the daemon speaks format %d, not %d", head.Format, admin.Format)
	}
	if head.Name != t.Name {
		return noAnswerError(op, "%.40q answers in its place", head.Name)
	}
	if err := json.Unmarshal(data, report); err != nil {
		return noAnswerError(op, "the report cannot be read: %w", err)
	}
	return nil
}

func operatorAddr(t *rules.Target) string {
	return net.JoinHostPort(t.Host, strconv.Itoa(t.Operator))
}

// milli converts a wall-clock time to the milliseconds used in reports.
func milli(t time.Time) clock.Milli { return clock.Milli(t.UnixMilli()) }
