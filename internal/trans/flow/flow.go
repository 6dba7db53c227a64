// Package flow carries a request from a caller to the target that runs it.
//
// A request passes two daemons. The [Outbound] side, on the caller's host,
// matches a route, chooses a target, sets the deadline and retries on other
// targets. The [Inbound] side, on the target's host, runs the request, queues
// it or refuses it. For a non-idempotent request it keeps a record, so that its
// answer "not run" is a guarantee.
//
// A client disconnect ends the request at once: the outbound side closes its
// connection to the inbound side, which then closes its connection to the
// target.
//
// Each answer between daemons carries the target's load, its limit, its
// admission threshold and whether it is leaving as [peer.Feedback]. Each request
// and each answer also tells which change of the store its sender knows, so that a
// daemon whose watch has gone silent learns that it missed one.
package flow

import (
	"math"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/learn"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/quota"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// Self describes the host that a daemon runs on.
type Self struct {
	// Host is the IP address of the host.
	Host string
	// InboundPort is the port of the inbound side, the same on all hosts.
	InboundPort int
	// Service is the service that the host's target belongs to, and TargetAddr
	// the address of that target.
	Service    string
	TargetAddr string
	Region     string
	Centre     string
	// Centres maps each data centre to its region.
	Centres map[string]string
}

// Metrics are callbacks that record the events of both sides.
type Metrics struct {
	// Answered reports an answer to a caller: how the request ended and how
	// long it took.
	Answered func(end string, took clock.Milli)
	// SlotWait reports how long an attempt waited for a slot, and TargetTime
	// how long the target took for it.
	SlotWait   func(took clock.Milli)
	TargetTime func(took clock.Milli)
	// SentLeaving reports a request that is sent to a leaving target, and how
	// long ago the leave became known.
	SentLeaving func(age clock.Milli)
	// Attempts reports an attempt that the outbound side sends.
	Attempts func()
	// Retries reports a retry that was taken from the retry budget.
	Retries func()
	// Refused reports a request that the inbound side did not run, and why.
	Refused func(reason string)
	// ConnOpened reports a new connection to the target.
	ConnOpened func()
	// Quota reports a message about rate limits and what became of it; nil ignores
	// them.
	Quota func(result string)
	// HeldBack reports a caller's request that was refused because its chain of calls
	// has no room. It is optional.
	HeldBack func()
	// StatementIgnored reports a statement of another daemon that could not be used,
	// by its kind. It is optional.
	StatementIgnored func(kind string)
}

// Config configures both sides.
type Config struct {
	Clock   clock.Clock
	Headers peer.Headers
	Self    Self
	// View returns the configuration in force and the known targets.
	View func() *model.View
	// Seen returns the revision of the newest change of the store that this
	// daemon knows, 0 if none. OnSeen is called with that of another daemon.
	Seen   func() int64
	OnSeen func(revision int64)
	// Proof returns this daemon's proof that its configuration is the newest, and
	// false if there is none or none is needed. OnProof is called with that of
	// another daemon and the instant, on Clock.Boot, at which it was asked for. Both
	// are optional, as are the next two.
	Proof   func() (peer.Fresh, bool)
	OnProof func(f peer.Fresh, askedAt clock.Milli)
	// IsTrusted reports whether keys may be let in, see [acct.Freshness], and IsBehind
	// whether another daemon knows a change that this one does not.
	IsTrusted func() bool
	IsBehind  func() bool
	// Statement reads what a target states about its load, and reports false if it is
	// not readable. It is optional.
	Statement func(value string) (learn.Statement, bool)
	Log       *zap.Logger
	Metrics   Metrics
	// OnPanic is called with a panic that cost one exchange; nil ignores them.
	OnPanic func(*rescue.Error)
	// Seed makes random choices reproducible.
	Seed uint64
	// Incarnation identifies this run of the daemon process.
	Incarnation uint64
	// RetryRatio and RetrySlack set the retry budget of a service, summed over
	// all daemons: the retries within RetryWindow may be at most RetryRatio
	// times the requests within it, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow clock.Milli
	// DrainTime is the time after which a leaving target gets no new work.
	DrainTime clock.Milli
	// Quota is the excess over the rate limits of client accounts that the platform
	// tolerates. The zero value puts no limits in force.
	Quota quota.Bounds
}

// withDefaults returns c with the optional functions set.
func (c Config) withDefaults() Config {
	if c.Metrics.HeldBack == nil {
		c.Metrics.HeldBack = func() {}
	}
	if c.Metrics.StatementIgnored == nil {
		c.Metrics.StatementIgnored = func(string) {}
	}
	if c.Proof == nil {
		c.Proof = func() (peer.Fresh, bool) { return peer.Fresh{}, false }
	}
	if c.OnProof == nil {
		c.OnProof = func(peer.Fresh, clock.Milli) {}
	}
	if c.IsTrusted == nil {
		c.IsTrusted = func() bool { return true }
	}
	if c.IsBehind == nil {
		c.IsBehind = func() bool { return false }
	}
	if c.Metrics.Quota == nil {
		c.Metrics.Quota = func(string) {}
	}
	if c.Statement == nil {
		c.Statement = func(string) (learn.Statement, bool) { return learn.Statement{}, false }
	}
	return c
}

const (
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
	// dialTimeout bounds connecting to another host. It is below the second
	// after which TCP resends the lost first packet of a connection.
	dialTimeout = 500 * clock.Millisecond
)

// sampleOneIn is the sampling rate of the log lines about successful requests:
// one of so many roots is logged. Sampling by root keeps or omits a request
// together with all calls below it, on every host.
const sampleOneIn = 64

func isSampled(root uint64) bool { return root%sampleOneIn == 0 }

// sampleWeight returns how many requests a log line stands for.
func sampleWeight(isSuccess bool) int {
	if isSuccess {
		return sampleOneIn
	}
	return 1
}

// importanceOf maps the priority of a route, 0 being the highest, to an
// importance. Priorities beyond the number of importances map to the lowest.
func importanceOf(priority int) rules.Importance {
	if priority >= int(rules.Vital) {
		return rules.Spare
	}
	return rules.Vital - rules.Importance(max(priority, 0))
}

// addrOf returns the address of the daemon on the host of t.
func (c *Config) addrOf(t *model.Target) string {
	return net.JoinHostPort(t.Host(), strconv.Itoa(c.Self.InboundPort))
}

// plainAnswer returns a text answer that the daemon itself gives to the request
// with the id.
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

// refusal returns an answer that says that the request has not run and asks the
// caller to retry after wait.
func (c *Config) refusal(id, text string, wait clock.Milli) guard.Answer {
	return c.retryAnswer(id, fasthttp.StatusServiceUnavailable, text, wait)
}

// retryAnswer is refusal with another status.
func (c *Config) retryAnswer(id string, status int, text string, wait clock.Milli) guard.Answer {
	a := c.plainAnswer(id, status, text)
	seconds := math.Max(float64(wait), 1) / float64(clock.Second)
	a.Fields = http1.WithField(a.Fields, c.Headers.Retry, strconv.FormatFloat(seconds, 'f', 3, 64))
	return a
}
