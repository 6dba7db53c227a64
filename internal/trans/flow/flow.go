// Package flow takes a request from a caller to the target that runs it.
//
// A request passes two daemons and meets one decision at each. The [Outbound]
// side of the caller's host matches a route, chooses a target and says how long
// to wait; it alone repeats. The [Inbound] side of the target's host decides
// whether the request runs, waits or is refused, and for a request that may run
// at most once it keeps the record that makes "not run" a promise.
//
// A caller that hangs up ends the exchange of its request at once. The
// connection to the next daemon is closed, which is a hang-up there, and so the
// target's connection is closed too.
//
// What a target can take, its threshold and whether it is leaving ride on each
// answer as a [leg.Feedback].
package flow

import (
	"math"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// Self places a daemon.
type Self struct {
	// Host is the IP of the daemon's host.
	Host string
	// InboundPort is the port of the inbound side, the same on all hosts.
	InboundPort int
	// Service is the service of the target on the host, Target its address.
	Service    string
	TargetAddr string
	Region     string
	Centre     string
	// Centres maps each data centre to its region.
	Centres map[string]string
}

// Metrics are the counters of both sides. Each function takes one event.
type Metrics struct {
	// Answered counts answers to callers by how they ended.
	Answered func(end string, took clock.Milli)
	// SlotWait and Worked record how long an attempt waited for a slot, and how
	// long the target had it.
	SlotWait   func(took clock.Milli)
	TargetTime func(took clock.Milli)
	// Attempts counts what is sent to a daemon beside a target.
	Attempts func()
	// Retries counts attempts that the budget was charged for.
	Retries func()
	// Refused counts requests that the inbound side did not run, by reason.
	Refused func(reason string)
	// ConnOpened counts new connections to the target.
	ConnOpened func()
}

// Config is what both sides are made from.
type Config struct {
	Clock   clock.Clock
	Headers peer.Headers
	Self    Self
	// View returns the configuration in force and the targets.
	View    func() *model.View
	Log     *zap.Logger
	Metrics Metrics
	// Seed makes random draws repeatable.
	Seed uint64
	// Incarnation identifies this run of the daemon.
	Incarnation uint64
	// RetryRatio and Slack bound the attempts beyond the first of each request at a
	// service, over all daemons: a share of its requests and a number more.
	// Window is the time over which they count.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow clock.Milli
	// DrainTime is the time after which a target that leaves gets no new work.
	DrainTime clock.Milli
}

const (
	// maxAnswerBytes bounds an answer, in bytes.
	maxAnswerBytes = 64 << 20
	// dialTimeout bounds the time to connect to another host; a packet of a new
	// connection that is lost is sent again only after a second.
	dialTimeout = 500 * clock.Millisecond
)

// sampleOneIn is the number of roots of which one is kept in the log when its
// requests are whole. A root is kept or left out with all its calls, on all
// hosts.
const sampleOneIn = 64

func isSampled(root uint64) bool { return root%sampleOneIn == 0 }

// sampleWeight returns how many requests a line stands for.
func sampleWeight(isSuccess bool) int {
	if isSuccess {
		return sampleOneIn
	}
	return 1
}

// importanceOf maps the rank of a route, 0 being the highest, to an importance.
func importanceOf(rank int) rules.Importance {
	if rank >= int(rules.Vital) {
		return rules.Spare
	}
	return rules.Vital - rules.Importance(max(rank, 0))
}

// addrOf returns the address of the daemon beside a target.
func (c *Config) addrOf(t *model.Target) string {
	return net.JoinHostPort(t.Host(), strconv.Itoa(c.Self.InboundPort))
}

// plainAnswer returns an answer of the daemon's own to the request of the id.
func (c *Config) plainAnswer(id string, status int, text string) guard.Answer {
	a := guard.Answer{
		Status: status,
		Fields: []guard.Field{
			{
				Name:  "Content-Type",
				Value: "text/plain; charset=utf-8",
			},
		},
		Body: []byte(text + "\n"),
	}
	if id != "" {
		a.Fields = http1.WithField(a.Fields, c.Headers.ID, id)
	}
	return a
}

// refusal returns an answer that says that the request has not run and when it
// is welcome again.
func (c *Config) refusal(id, text string, wait clock.Milli) guard.Answer {
	a := c.plainAnswer(id, fasthttp.StatusServiceUnavailable, text)
	seconds := math.Max(float64(wait), 1) / float64(clock.Second)
	a.Fields = http1.WithField(a.Fields, c.Headers.Retry, strconv.FormatFloat(seconds, 'f', 3, 64))
	return a
}
