package flow

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/quota"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// membersEvery is the interval at which the limiter looks for changes of the set of
// daemons.
const membersEvery = 200 * clock.Millisecond

// Results of messages about rate limits, as they appear in metrics.
const (
	quotaAnswered = "answered"
	quotaFailed   = "failed"
	quotaReceived = "received"
	quotaRefused  = "refused"
)

var (
	errRefused  = errors.New("flow: the lender refused the message")
	errNotTaken = errors.New("flow: the lender takes no messages")
)

// limiter applies the rate limits of client accounts. It asks lenders for tokens, sends
// them the shares of this daemon, and is a lender itself. It is safe for concurrent use.
type limiter struct {
	cfg   *Config
	peers *http1.Client
	// self is the host of this daemon as the records of targets name it.
	self string
	// config is the configuration that the accounts were taken from.
	config atomic.Pointer[model.Config]

	mu       sync.Mutex
	borrower *quota.Borrower
	lender   *quota.Lender
	// lines holds the requests that wait for tokens, by account.
	lines map[string]*line
	// digest is that of the daemons as of membersAt.
	digest    uint64
	membersAt clock.Milli
	// isCutOff is set while no lender can be reached.
	isCutOff bool
}

// line holds the requests of one account that wait for tokens. They share one message.
type line struct {
	waiting  []chan quota.Decision
	isAsking bool
}

func newLimiter(cfg *Config, peers *http1.Client) *limiter {
	self, _, err := net.SplitHostPort(cfg.Self.TargetAddr)
	if err != nil {
		self = cfg.Self.Host
	}
	return &limiter{
		cfg:      cfg,
		peers:    peers,
		self:     self,
		borrower: quota.NewBorrower(cfg.Clock.Now(), cfg.Incarnation),
		lender:   quota.NewLender(),
		lines:    make(map[string]*line),
	}
}

// take waits until a request of an account has its token, or until it is clear that it
// gets none.
func (l *limiter) take(ctx context.Context, v *model.View, account string) quota.Decision {
	l.refreshAccounts(v.Config)
	d, done := l.tryTake(v, account)
	if done == nil {
		return d
	}
	select {
	case d = <-done:
		return d
	case <-l.cfg.Clock.After(quota.MaxWait):
	case <-ctx.Done():
	}
	if l.leave(account, done) {
		return quota.Decision{
			Verdict: quota.Unreached,
			Retry:   minRetryAfter,
		}
	}
	return <-done
}

// tryTake takes a token if one is at hand. Otherwise it returns a channel that receives
// the decision.
func (l *limiter) tryTake(v *model.View, account string) (quota.Decision, chan quota.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if l.membersAt == 0 {
		// The request comes before the first tick.
		l.refreshMembers(now, v)
	}
	d := l.borrower.Take(now, account)
	if d.Verdict != quota.Wait {
		return d, nil
	}
	n, ok := l.lines[account]
	if !ok {
		n = &line{}
		l.lines[account] = n
	}
	done := make(chan quota.Decision, 1)
	n.waiting = append(n.waiting, done)
	if !n.isAsking {
		n.isAsking = true
		go func() {
			if !l.run("ask for tokens", func() { l.askFor(account, n) }) {
				l.endAsking(n)
			}
		}()
	}
	return d, done
}

// leave removes a request that waits no longer. It returns false if the request has its
// decision already.
func (l *limiter) leave(account string, done chan quota.Decision) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.lines[account]
	if !ok {
		return false
	}
	i := slices.Index(n.waiting, done)
	if i < 0 {
		return false
	}
	n.waiting = slices.Delete(n.waiting, i, i+1)
	return true
}

// release takes back the token of a request that did not run.
func (l *limiter) release(account string, until clock.Milli) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Release(l.cfg.Clock.Now(), account, until)
}

// askFor asks lenders until no request of the account waits.
func (l *limiter) askFor(account string, n *line) {
	for {
		o, ok := l.nextAsk(account, n)
		if !ok {
			return
		}
		l.exchange(&o)
		l.serve(account, n)
	}
}

// endAsking lets the next request of the account ask again.
func (l *limiter) endAsking(n *line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n.isAsking = false
}

// nextAsk returns the next message for the requests that wait, and false if none waits.
func (l *limiter) nextAsk(account string, n *line) (quota.Outgoing, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(n.waiting) > 0 {
		if o, ok := l.borrower.Ask(l.cfg.Clock.Now(), account, len(n.waiting)); ok {
			return o, true
		}
		l.decide(account, n)
	}
	n.isAsking = false
	return quota.Outgoing{}, false
}

// serve decides on the requests that wait, as far as tokens or a lack of them allow.
func (l *limiter) serve(account string, n *line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decide(account, n)
}

// decide is serve with l.mu held.
func (l *limiter) decide(account string, n *line) {
	now := l.cfg.Clock.Now()
	for len(n.waiting) > 0 {
		d := l.borrower.Take(now, account)
		if d.Verdict == quota.Wait {
			return
		}
		n.waiting[0] <- d
		n.waiting = n.waiting[1:]
	}
}

// exchange sends a message to its lender and records the answer.
func (l *limiter) exchange(o *quota.Outgoing) {
	lent, err := l.send(o)
	result := quotaAnswered
	if err != nil {
		result = quotaFailed
	}
	l.cfg.Metrics.Quota(result)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if err == nil {
		l.borrower.Answered(now, o, lent)
		return
	}
	l.borrower.Failed(now, o, !isUnsent(err))
}

// isUnsent reports whether a message certainly had no effect at the lender.
func isUnsent(err error) bool {
	var e *http1.Error
	return errors.Is(err, errNotTaken) || errors.As(err, &e) && e.Kind == http1.Unsent
}

// send sends a message to its lender and returns the tokens that were lent.
func (l *limiter) send(o *quota.Outgoing) (int, error) {
	if o.Lender == l.self {
		lent, refusal := l.receive(&o.Message)
		if refusal != "" {
			return 0, errRefused
		}
		return lent, nil
	}
	ctx, cancel := http1.WithTimeout(context.Background(), quota.AnswerTime)
	defer cancel()
	askedAt := l.cfg.askProof()
	a, err := l.peers.Do(ctx, net.JoinHostPort(o.Lender, strconv.Itoa(l.cfg.Self.InboundPort)), &http1.Request{
		Method: fasthttp.MethodPost,
		Host:   o.Lender,
		URI:    "/",
		Fields: []guard.Field{
			{
				Name:  peer.HeaderQuota,
				Value: peer.FormatQuota(&o.Message),
			},
		},
	}, http1.Options{})
	switch {
	case err != nil:
		return 0, err
	case a.Status == fasthttp.StatusServiceUnavailable:
		return 0, errNotTaken
	case a.Status != fasthttp.StatusOK:
		return 0, errRefused
	}
	l.cfg.takeProof(askedAt, a.Fields)
	return peer.ParseLent(http1.Get(a.Fields, peer.HeaderQuota))
}

// receive takes a message of a borrower and returns the tokens that are lent.
func (l *limiter) receive(m *quota.Message) (int, quota.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lender.Receive(l.cfg.Clock.Now(), m)
}

// handle answers a message of another daemon.
func (l *limiter) handle(value string) guard.Answer {
	m, err := peer.ParseQuota(value)
	refusal := quota.Invalid
	lent := 0
	if err == nil {
		l.refreshAccounts(l.cfg.View().Config)
		lent, refusal = l.receive(&m)
	}
	if refusal != "" {
		l.cfg.Metrics.Quota(quotaRefused)
		return l.cfg.plainAnswer("", fasthttp.StatusBadRequest, string(refusal))
	}
	l.cfg.Metrics.Quota(quotaReceived)
	return guard.Answer{
		Status: fasthttp.StatusOK,
		// Lenders hear from all daemons, so proofs spread with their answers.
		Fields: l.cfg.withProof([]guard.Field{
			{
				Name:  peer.HeaderQuota,
				Value: peer.FormatLent(lent),
			},
		}),
	}
}

// refreshAccounts takes the accounts from a configuration if it is a new one.
func (l *limiter) refreshAccounts(c *model.Config) {
	if c == nil || l.config.Load() == c {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	t := quota.NewTable(l.cfg.Quota, limitsOf(c))
	maps.DeleteFunc(l.lines, func(account string, n *line) bool {
		_, ok := t.Account(account)
		return !ok && !n.isAsking && len(n.waiting) == 0
	})
	l.borrower.SetTable(t)
	l.lender.SetTable(t)
	l.config.Store(c)
}

// limitsOf returns the rate limits of the accounts of a configuration.
func limitsOf(c *model.Config) []quota.Limit {
	var limits []quota.Limit
	for _, name := range c.Accounts.Names() {
		if a, ok := c.Accounts.ByName(name); ok && a.IsCapped() {
			limits = append(limits, quota.Limit{
				Name:  name,
				Rate:  a.Rate,
				Burst: a.Burst,
			})
		}
	}
	return limits
}

// tick sends the messages that are due, without waiting for their answers.
func (l *limiter) tick() {
	v := l.cfg.View()
	if !l.cfg.Quota.InForce() || v.Config == nil || !v.Fleet.Loaded {
		return
	}
	l.refreshAccounts(v.Config)
	if !v.Config.Accounts.InForce() {
		return
	}
	for _, o := range l.due(v) {
		go l.run("send a share", func() { l.exchange(&o) })
	}
}

// due returns the messages that are due.
func (l *limiter) due(v *model.View) []quota.Outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	l.refreshMembers(now, v)
	l.logCutOff()
	return l.borrower.Tick(now)
}

// refreshMembers takes the set of daemons from a view if it has changed. l.mu must be
// held.
func (l *limiter) refreshMembers(now clock.Milli, v *model.View) {
	if l.membersAt > 0 && now-l.membersAt < membersEvery {
		return
	}
	l.membersAt = now
	hosts := v.Hosts()
	digest := quota.DigestOf(hosts)
	if digest == l.digest {
		return
	}
	l.digest = digest
	l.borrower.SetMembers(now, quota.NewMembers(l.self, hosts))
	l.lender.SetMembers(len(hosts))
}

// logCutOff logs when no lender can be reached, and when one can again. l.mu must be
// held.
func (l *limiter) logCutOff() {
	isCutOff := l.borrower.IsCutOff()
	if isCutOff == l.isCutOff {
		return
	}
	l.isCutOff = isCutOff
	if isCutOff {
		event.Warn(l.cfg.Log, event.LendersUnreached)
		return
	}
	event.Info(l.cfg.Log, event.LendersReached)
}

// run calls f, reports a panic in it and returns false after one.
func (l *limiter) run(op string, f func()) bool {
	err := rescue.Run(op, f)
	if err != nil && l.cfg.OnPanic != nil {
		l.cfg.OnPanic(err)
	}
	return err == nil
}

// limit takes the token that a request of an account with a rate limit needs. The
// denial is nil if the request may run.
func (o *Outbound) limit(ctx context.Context, c *call, who identity) (clock.Milli, *denial) {
	if !o.needsToken(who) {
		return 0, nil
	}
	d := o.limiter.take(ctx, c.view, who.account.Name)
	switch d.Verdict {
	case quota.Limited:
		reason := "over the limit of " + who.account.Name
		return 0, &denial{
			end:    event.EndLimited,
			reason: reason,
			answer: o.cfg.retryAnswer(c.id, fasthttp.StatusTooManyRequests, reason, d.Retry),
		}
	case quota.Run, quota.Wait:
		return d.Until, nil
	case quota.Unreached:
	}
	const reason = "no lender of rate limits answers"
	return 0, &denial{
		end:    event.EndUnmetered,
		reason: reason,
		answer: o.cfg.refusal(c.id, reason, max(d.Retry, minRetryAfter)),
	}
}

// needsToken reports whether a request counts towards a rate limit.
func (o *Outbound) needsToken(who identity) bool {
	return o.cfg.Quota.InForce() && who.account != nil && !who.isCall && who.account.IsCapped()
}
