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
	// callWait bounds one request, tryWait one exchange of it.
	callWait = 8 * clock.Second
	tryWait  = 3 * clock.Second
	// callPause is the mean pause between two requests of one caller.
	callPause = 60 * clock.Millisecond
	// asks is how often a caller asks again for an outcome, with askPause
	// between two questions.
	asks     = 3
	askPause = 200 * clock.Millisecond
	// entries is the number of daemons that a caller knows.
	entries = 3
)

// callers call the fleet from outside until they are stopped.
type callers struct {
	clock clock.Clock
	world *World
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu    sync.Mutex
	words []Result
	// open holds the once-only requests whose outcome is not known yet.
	open []Result
	held map[string]string
}

// start starts n callers, half of which use package client.
func (c *callers) start(n int, seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.held = make(map[string]string)
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		call := c.careful
		if i%2 == 1 {
			call = c.hasty
		}
		c.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				call(rng, fmt.Sprintf("c%d-%d", i, n))
				select {
				case <-ctx.Done():
				case <-c.clock.After(1 + clock.Milli(rng.Int64N(2*int64(callPause)))):
				}
			}
		})
	}
}

// careful makes one request the way that package client does.
func (c *callers) careful(rng *rand.Rand, key string) {
	path := c.world.path(rng)
	word := c.begin(path, key)
	cl, err := client.New(client.Config{
		Daemons:  c.world.entries(rng, entries),
		Secret:   Secret,
		TryWait:  tryWait,
		Exchange: c.world.http.Exchange,
	})
	if err != nil {
		return
	}
	result, err := cl.Do(context.Background(), client.Request{
		Path:     path,
		Key:      key,
		Deadline: callWait,
	})
	if err != nil {
		return
	}
	word.Detail = fmt.Sprintf("%d tries", result.Tries)
	if result.Reply.Status == 0 {
		// The outcome of a client is its conclusion, not an answer.
		word = failed(word, result.Err)
	} else {
		word = word.withReply(result.Reply)
	}
	word.Outcome = result.Outcome
	c.end(word, result.Ticket)
}

// hasty makes one request with bare exchanges on connections of their own. It
// sends a once-only request through two daemons side by side, on one ticket.
func (c *callers) hasty(rng *rand.Rand, key string) {
	path := c.world.path(rng)
	word := c.begin(path, key)
	at := c.world.entries(rng, entries)
	reply, err := c.exchange(at[0], path, key, "")
	ticket := reply.Field(header.Ticket)
	if !word.AtMostOnce || err != nil || ticket == "" {
		c.end(c.told(word, at[0], reply, err), "")
		return
	}
	var wg sync.WaitGroup
	for _, entry := range at[:2] {
		wg.Go(func() {
			c.end(c.redeem(entry, path, key, ticket, at), ticket)
		})
	}
	wg.Wait()
}

// redeem sends a request on its ticket. An answer that does not know the
// outcome leaves the ticket to ask again with, as callers are told to.
func (c *callers) redeem(entry, path, key, ticket string, others []string) Result {
	word := c.begin(path, key)
	for n := 0; ; n++ {
		reply, err := c.exchange(entry, path, key, ticket)
		word = c.told(word, entry, reply, err)
		if err != nil || word.Outcome != client.Unknown || n == asks {
			return word
		}
		<-c.clock.After(askPause)
		entry = others[n%len(others)]
	}
}

func (c *callers) exchange(entry, path, key, ticket string) (client.Reply, error) {
	m := client.Message{
		Daemon: entry,
		Method: fasthttp.MethodPost,
		Path:   "/" + path,
		Wait:   callWait,
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
	return c.world.bare.Exchange(m)
}

func (c *callers) begin(path, key string) Result {
	return Result{
		Key:        key,
		Path:       path,
		AtMostOnce: strings.HasSuffix(path, "/"+postOp),
		Interval: Interval{
			Start: c.clock.Now(),
		},
	}
}

// told completes a word with the answer of one exchange.
func (c *callers) told(w Result, entry string, reply client.Reply, err error) Result {
	w.Detail = "at " + entry
	if err != nil {
		return failed(w, err)
	}
	w.Outcome = client.Outcome(reply.Field(header.Outcome))
	return w.withReply(reply)
}

func failed(w Result, err error) Result {
	w.ConnRefused = isUnconnected(err)
	w.Detail = fmt.Sprintf("%s, %v", w.Detail, err)
	return w
}

// isUnconnected reports whether no connection could be made. A listening socket
// that is being closed refuses some and resets others that are half made.
func isUnconnected(err error) bool {
	var dial *net.OpError
	if !errors.As(err, &dial) || dial.Op != "dial" {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// withReply returns w with an answer and what is wrong with it.
func (w Result) withReply(reply client.Reply) Result {
	w.Status = reply.Status
	w.Body = string(reply.Body)
	if reply.Status == statusOK {
		w.Fault = faultOf(w.Path, w.Key, reply.Body)
	}
	return w
}

// faultOf tells why a body is not the whole answer to a request, empty if it
// is.
func faultOf(path, key string, body []byte) string {
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
		return "the answer of the deeper call is missing"
	}
	return ""
}

// end notes the word on a request. A ticket keeps the request open until its
// outcome is known.
func (c *callers) end(w Result, ticket string) {
	w.Interval.End = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.words = append(c.words, w)
	if w.AtMostOnce && ticket != "" && w.Outcome != client.Done && w.Outcome != client.NotRun {
		c.open = append(c.open, w)
		c.held[w.Key] = ticket
	}
}

// finish stops the callers and asks once more for the outcomes that are not
// known.
func (c *callers) finish(rng *rand.Rand) {
	c.stop()
	c.wg.Wait()
	open := c.open
	c.open = nil
	for _, w := range open {
		w = c.begin(w.Path, w.Key)
		at := c.world.entries(rng, 1)[0]
		reply, err := c.exchange(at, w.Path, w.Key, c.held[w.Key])
		c.end(c.told(w, at, reply, err), c.held[w.Key])
	}
}
