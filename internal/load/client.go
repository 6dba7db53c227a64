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
	// maxAnswerBytes bounds an answer in bytes.
	maxAnswerBytes = 4 << 20
	// deadlineSlack is how long after its time is over a try is waited for.
	deadlineSlack   = 100 * clock.Millisecond
	connIdleTimeout = 30 * time.Second
)

// client makes single exchanges with entry points and repeats none of them.
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

// tryResult is what became of one exchange.
type tryResult struct {
	// complete tells that the answer is the complete one to the request.
	complete bool
	// outcome is the outcome header, empty without an answer.
	outcome string
	status  int
	// reason is the cause of a failure in one word.
	reason string
	// ticket is the one in the answer, empty without.
	ticket string
	// id is the request id in the answer, empty without.
	id string
	// fault is set if the answer is not the request's own or not complete.
	fault Fault
}

// problem holds what the client reads of a refusal.
type problem struct {
	Reason string `json:"reason"`
}

// send makes one exchange for call with key, on a ticket unless that is empty.
// The fleet is told the time given to it.
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

// ReasonDial is the cause of tries that got no connection.
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
