package load

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 4 << 20
	// deadlineSlack is how long a try waits for its answer beyond its deadline.
	deadlineSlack   = 100 * clock.Millisecond
	connIdleTimeout = 30 * time.Second
)

// client makes single exchanges with entry points and never retries by itself.
type client struct {
	conns int
	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

func newClient(conns int) *client {
	return &client{
		conns: conns,
		hosts: make(map[string]*fasthttp.HostClient),
	}
}

func (c *client) host(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[addr]; h != nil {
		return h
	}
	h := &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  c.conns,
		MaxIdleConnDuration:       connIdleTimeout,
		MaxResponseBodySize:       maxAnswerBytes,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	c.hosts[addr] = h
	return h
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.CloseIdleConnections()
	}
}

// tryResult is the result of one exchange.
type tryResult struct {
	// complete reports whether the answer is complete and belongs to the request.
	complete bool
	// outcome is the value of the outcome header, empty without an answer.
	outcome string
	status  int
	// reason is the cause of a failure in one word, empty if complete.
	reason string
	// ticket is the ticket in the answer, empty if there is none.
	ticket string
	// id is the request id in the answer, empty if there is none.
	id string
	// fault is set if an answer of status 200 belongs to another request or is
	// incomplete.
	fault Fault
}

// problem holds the field of a refusal's body that the client reads.
type problem struct {
	Reason string `json:"reason"`
}

// send makes one exchange for call with the idempotency key, with ticket unless
// it is empty. The deadline header carries wait.
func (c *client) send(addr string, call *Call, key, ticket string, wait time.Duration) tryResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/" + call.Path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+call.Token)
	req.Header.Set(header.IdempotencyKey, key)
	if ticket != "" {
		req.Header.Set(header.Ticket, ticket)
	}
	req.Header.Set(header.Deadline, strconv.FormatInt(wait.Milliseconds(), 10))
	if err := c.host(addr).DoTimeout(req, resp, wait+deadlineSlack.Duration()); err != nil {
		return tryResult{
			reason: errorReason(err),
		}
	}
	return readResult(resp, call, key)
}

func readResult(resp *fasthttp.Response, call *Call, key string) tryResult {
	r := tryResult{
		outcome: string(resp.Header.Peek(header.Outcome)),
		status:  resp.StatusCode(),
		ticket:  string(resp.Header.Peek(header.Ticket)),
		id:      string(resp.Header.Peek(header.ID)),
	}
	if r.status != fasthttp.StatusOK {
		r.reason = refusalReason(resp)
		return r
	}
	if call.Tree != nil {
		r.fault = call.Tree.check(resp.Body(), key)
	}
	r.complete = r.fault == NoFault
	if !r.complete {
		r.reason = r.fault.String()
	}
	return r
}

func refusalReason(resp *fasthttp.Response) string {
	var p problem
	if err := json.Unmarshal(resp.Body(), &p); err == nil && p.Reason != "" {
		return p.Reason
	}
	return "status " + strconv.Itoa(resp.StatusCode())
}

// ReasonDial is the reason of tries that could not connect.
const ReasonDial = "dial"

func errorReason(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, os.ErrDeadlineExceeded):
		return "timeout"
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return "connections"
	case errors.As(err, &op) && op.Op == "dial":
		return ReasonDial
	default:
		return "cut"
	}
}
