package procs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/pkg/client"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	statusOK = fasthttp.StatusOK
	// callTimeout bounds a request, and attemptTimeout an attempt of it.
	callTimeout    = 8 * clock.Second
	attemptTimeout = 3 * clock.Second
	// meanCallPause is the mean pause between two requests of a caller.
	meanCallPause = 60 * clock.Millisecond
	// outcomeQueries is how often a caller repeats a request to learn an unknown
	// outcome, with queryPause in between.
	outcomeQueries = 3
	queryPause     = 200 * clock.Millisecond
	// entryDaemons is the number of daemons that a caller can use for a request.
	entryDaemons = 3
)

// callers send requests to the fleet until they are stopped.
type callers struct {
	clock clock.Clock
	world *World
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu      sync.Mutex
	results []Result
	// unresolved holds the non-idempotent requests of unknown outcome, and tickets
	// their tickets by key.
	unresolved []Result
	tickets    map[string]string
}

// start starts n callers in the background. Every second one sends its requests
// without package client.
func (c *callers) start(n int, seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.tickets = make(map[string]string)
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		call := c.callThroughClient
		if i%2 == 1 {
			call = c.callDirectly
		}
		c.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				call(rng, fmt.Sprintf("c%d-%d", i, n))
				select {
				case <-ctx.Done():
				case <-c.clock.After(1 + clock.Milli(rng.Int64N(2*int64(meanCallPause)))):
				}
			}
		})
	}
}

// callThroughClient makes a request with package client.
func (c *callers) callThroughClient(rng *rand.Rand, key string) {
	path := c.world.randomPath(rng)
	result := c.newResult(path, key)
	cl, err := client.New(client.Config{
		Daemons:  c.world.entryAddrs(rng, entryDaemons),
		Secret:   Secret,
		TryWait:  attemptTimeout,
		Exchange: c.world.pooledHTTP.Exchange,
	})
	if err != nil {
		return
	}
	answer, err := cl.Do(context.Background(), client.Request{
		Path:     path,
		Key:      key,
		Deadline: callTimeout,
	})
	if err != nil {
		return
	}
	result.Detail = fmt.Sprintf("%d tries", answer.Tries)
	if answer.Reply.Status == 0 {
		// Without a reply, the outcome is the conclusion of the client.
		result = withError(result, answer.Err)
	} else {
		result = result.withReply(answer.Reply)
	}
	result.Outcome = answer.Outcome
	c.record(result, answer.Ticket)
}

// callDirectly makes a request without package client, on a new connection for
// each attempt. If the answer carries a ticket for a non-idempotent request, it
// sends the request with this ticket through two daemons at the same time.
func (c *callers) callDirectly(rng *rand.Rand, key string) {
	path := c.world.randomPath(rng)
	result := c.newResult(path, key)
	addrs := c.world.entryAddrs(rng, entryDaemons)
	reply, err := c.exchange(addrs[0], path, key, "")
	ticket := reply.Field(header.Ticket)
	if !result.AtMostOnce || err != nil || ticket == "" {
		c.record(c.withExchange(result, addrs[0], reply, err), "")
		return
	}
	var wg sync.WaitGroup
	for _, entry := range addrs[:2] {
		wg.Go(func() {
			c.record(c.callWithTicket(entry, path, key, ticket, addrs), ticket)
		})
	}
	wg.Wait()
}

// callWithTicket sends a request with its ticket. While the outcome is unknown, it
// sends it again through other daemons, as callers should.
func (c *callers) callWithTicket(entry, path, key, ticket string, others []string) Result {
	result := c.newResult(path, key)
	for n := 0; ; n++ {
		reply, err := c.exchange(entry, path, key, ticket)
		result = c.withExchange(result, entry, reply, err)
		if err != nil || result.Outcome != client.Unknown || n == outcomeQueries {
			return result
		}
		<-c.clock.After(queryPause)
		entry = others[n%len(others)]
	}
}

// exchange makes one attempt of a request, with a ticket unless it is empty.
func (c *callers) exchange(entry, path, key, ticket string) (client.Reply, error) {
	m := client.Message{
		Daemon: entry,
		Method: fasthttp.MethodPost,
		Path:   "/" + path,
		Wait:   callTimeout,
		Fields: []client.Field{
			{
				Name:  fasthttp.HeaderAuthorization,
				Value: "Bearer " + Secret,
			},
			{
				Name:  header.IdempotencyKey,
				Value: key,
			},
			{
				Name:  fasthttp.HeaderConnection,
				Value: "close",
			},
		},
	}
	if ticket != "" {
		m.Fields = append(m.Fields, client.Field{
			Name:  header.Ticket,
			Value: ticket,
		})
	}
	return c.world.freshHTTP.Exchange(m)
}

// newResult returns the result of a request that starts now.
func (c *callers) newResult(path, key string) Result {
	return Result{
		Key:        key,
		Path:       path,
		AtMostOnce: strings.HasSuffix(path, "/"+postOp),
		Interval: Interval{
			Start: c.clock.Now(),
		},
	}
}

// withExchange returns r with the answer or error of an exchange with a daemon.
func (c *callers) withExchange(r Result, entry string, reply client.Reply, err error) Result {
	r.Detail = "at " + entry
	if err != nil {
		return withError(r, err)
	}
	r.Outcome = client.Outcome(reply.Field(header.Outcome))
	return r.withReply(reply)
}

// withError returns r with an error of an exchange.
func withError(r Result, err error) Result {
	r.ConnRefused = isUnconnected(err)
	r.Detail = fmt.Sprintf("%s, %v", r.Detail, err)
	return r
}

// isUnconnected reports whether err means that no connection could be opened. A
// listening socket that is being closed refuses some connections and resets
// others during the handshake.
func isUnconnected(err error) bool {
	var dial *net.OpError
	if !errors.As(err, &dial) || dial.Op != "dial" {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// withReply returns r with an answer and its fault.
func (r Result) withReply(reply client.Reply) Result {
	r.Status = reply.Status
	r.Body = string(reply.Body)
	if reply.Status == statusOK {
		r.Fault = answerFault(r.Path, r.Key, reply.Body)
	}
	return r
}

// answerFault returns why body is not the complete answer to a request, or an
// empty string if it is.
func answerFault(path, key string, body []byte) string {
	var a fakes.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return err.Error()
	}
	if a.Path != path || a.Key != key {
		return "answer to another request"
	}
	front, op, _ := strings.Cut(path, "/")
	n, isFront := strings.CutPrefix(front, "front")
	if !isFront {
		return ""
	}
	if len(a.Calls) != 1 || a.Calls[0].Path != "back"+n+"/"+op || a.Calls[0].Key != key+".0" {
		return "the answer of the downstream call is missing"
	}
	return ""
}

// record records a result. A request with a ticket and an unknown outcome is
// remembered as unresolved.
func (c *callers) record(r Result, ticket string) {
	r.Interval.End = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	if r.AtMostOnce && ticket != "" && r.Outcome != client.Done && r.Outcome != client.NotRun {
		c.unresolved = append(c.unresolved, r)
		c.tickets[r.Key] = ticket
	}
}

// finish stops the callers and sends each unresolved request once more with its
// ticket.
func (c *callers) finish(rng *rand.Rand) {
	c.stop()
	c.wg.Wait()
	unresolved := c.unresolved
	c.unresolved = nil
	for _, r := range unresolved {
		r = c.newResult(r.Path, r.Key)
		addr := c.world.entryAddrs(rng, 1)[0]
		reply, err := c.exchange(addr, r.Path, r.Key, c.tickets[r.Key])
		c.record(c.withExchange(r, addr, reply, err), c.tickets[r.Key])
	}
}
