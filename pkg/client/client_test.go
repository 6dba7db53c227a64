package client

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

var errLost = errors.New("connection reset")

// exchangeStep is the result of one exchange.
type exchangeStep struct {
	status  int
	outcome string
	ticket  string
	// elapsed is the time that the exchange takes.
	elapsed clock.Milli
	err     error
}

func (s exchangeStep) reply() Reply {
	return Reply{
		Status: s.status,
		Fields: []Field{
			{
				Name:  header.Outcome,
				Value: s.outcome,
			},
			{
				Name:  header.Ticket,
				Value: s.ticket,
			},
		},
	}
}

// newClient returns a client with a fake clock, which each wait advances at once.
func newClient(t testing.TB, cfg Config) (*Client, *clock.Fake) {
	t.Helper()
	fake := clock.NewFake(0)
	cfg.Clock = fake.Clock()
	after := cfg.Clock.After
	cfg.Clock.After = func(d clock.Milli) <-chan time.Time {
		ch := after(d)
		fake.Advance(d)
		return ch
	}
	cfg.Daemons = []string{"one", "two"}
	cfg.Jitter = func(n int64) int64 { return n / 2 }
	c, err := New(cfg)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	return c, fake
}

func TestDo(t *testing.T) {
	needsTicket := exchangeStep{
		status:  428,
		outcome: header.NotRun,
		ticket:  "t1",
	}
	done := exchangeStep{
		status:  200,
		outcome: header.Done,
	}
	lost := exchangeStep{err: errLost}
	running := exchangeStep{
		status:  409,
		outcome: header.Unknown,
	}
	tests := map[string]struct {
		request Request
		steps   []exchangeStep
		// asks are the results of the outcome queries after the tries.
		asks []exchangeStep
		// tickets and daemons are those of the expected tries.
		tickets []string
		daemons []string
		outcome Outcome
		left    string
	}{
		"repeatable": {
			steps:   []exchangeStep{done},
			tickets: []string{""},
			daemons: []string{"one"},
			outcome: Done,
		},
		"ticket first": {
			steps:   []exchangeStep{needsTicket, done},
			tickets: []string{"", "t1"},
			daemons: []string{"one", "one"},
			outcome: Done,
		},
		"a lost request without a ticket is sent again": {
			steps:   []exchangeStep{lost, needsTicket, done},
			tickets: []string{"", "", "t1"},
			daemons: []string{"one", "two", "two"},
			outcome: Done,
		},
		"a lost answer is retried with the same ticket": {
			steps:   []exchangeStep{needsTicket, lost, running, done},
			tickets: []string{"", "t1", "t1", "t1"},
			daemons: []string{"one", "one", "two", "one"},
			outcome: Done,
		},
		"an answer without an outcome counts as lost": {
			steps: []exchangeStep{
				needsTicket,
				{
					status: 200,
					ticket: "t9",
				},
				done,
			},
			tickets: []string{"", "t1", "t1"},
			daemons: []string{"one", "one", "two"},
			outcome: Done,
		},
		"a new ticket after not-run": {
			steps: []exchangeStep{
				needsTicket,
				{
					status:  503,
					outcome: header.NotRun,
					ticket:  "t2",
				},
				done,
			},
			tickets: []string{"", "t1", "t2"},
			daemons: []string{"one", "one", "one"},
			outcome: Done,
		},
		"not-run without a ticket leads to a try without a ticket": {
			steps: []exchangeStep{
				needsTicket,
				{
					status:  503,
					outcome: header.NotRun,
				},
				needsTicket,
				done,
			},
			tickets: []string{"", "t1", "", "t1"},
			daemons: []string{"one", "one", "one", "one"},
			outcome: Done,
		},
		"a ticket in an answer with unknown is ignored": {
			steps: []exchangeStep{
				needsTicket,
				{
					status:  504,
					outcome: header.Unknown,
					ticket:  "t2",
				},
				lost,
				lost,
			},
			asks:    []exchangeStep{lost, running},
			tickets: []string{"", "t1", "t1", "t1"},
			daemons: []string{"one", "one", "two", "one"},
			outcome: Unknown,
			left:    "t1",
		},
		"a ticket from the last answer was never sent": {
			steps: []exchangeStep{
				lost,
				lost,
				lost,
				needsTicket,
			},
			tickets: []string{"", "", "", ""},
			daemons: []string{"one", "two", "one", "two"},
			outcome: NotRun,
		},
		"the request is at fault": {
			steps: []exchangeStep{{
				status:  404,
				outcome: header.NotRun,
			}},
			tickets: []string{""},
			daemons: []string{"one"},
			outcome: NotRun,
		},
		"the ticket is at fault": {
			request: Request{Ticket: "t0"},
			steps: []exchangeStep{{
				status:  403,
				outcome: header.Unknown,
			}},
			tickets: []string{"t0"},
			daemons: []string{"one"},
			outcome: Unknown,
			left:    "t0",
		},
		"retried with the ticket of an earlier result": {
			request: Request{Ticket: "t0"},
			steps:   []exchangeStep{lost, done},
			tickets: []string{"t0", "t0"},
			daemons: []string{"one", "two"},
			outcome: Done,
		},
		"the deadline passes": {
			request: Request{Deadline: clock.Second},
			steps: []exchangeStep{
				needsTicket,
				{
					elapsed: clock.Second,
					err:     errLost,
				},
			},
			asks:    []exchangeStep{lost, lost},
			tickets: []string{"", "t1"},
			daemons: []string{"one", "one"},
			outcome: Unknown,
			left:    "t1",
		},
		"the request did not run by its deadline": {
			request: Request{Deadline: clock.Second},
			steps: []exchangeStep{
				needsTicket,
				{
					elapsed: clock.Second,
					err:     errLost,
				},
			},
			asks: []exchangeStep{{
				status:  503,
				outcome: header.NotRun,
			}},
			tickets: []string{"", "t1"},
			daemons: []string{"one", "one"},
			outcome: NotRun,
		},
		"the request had run by its deadline": {
			request: Request{Deadline: clock.Second},
			steps: []exchangeStep{
				needsTicket,
				{
					elapsed: clock.Second,
					err:     errLost,
				},
			},
			asks:    []exchangeStep{lost, done},
			tickets: []string{"", "t1"},
			daemons: []string{"one", "one"},
			outcome: Done,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var tickets, daemons []string
			var fake *clock.Fake
			var c *Client
			asked := 0
			c, fake = newClient(t, Config{Exchange: func(m Message) (Reply, error) {
				if m.Method == "GET" {
					if m.Path != outcomePath || len(tickets) < len(tt.steps) || asked == len(tt.asks) {
						t.Fatalf("outcome query %d was not expected: %+v", asked+1, m)
					}
					asked++
					return tt.asks[asked-1].reply(), tt.asks[asked-1].err
				}
				if len(tickets) == len(tt.steps) {
					t.Fatalf("exchange %d was not expected", len(tickets)+1)
				}
				s := tt.steps[len(tickets)]
				tickets = append(tickets, Reply{Fields: m.Fields}.Field(header.Ticket))
				daemons = append(daemons, m.Daemon)
				fake.Advance(s.elapsed)
				return s.reply(), s.err
			}})
			tt.request.Path = "payment/pay"
			r, err := c.Do(context.Background(), tt.request)
			if err != nil {
				t.Fatalf("Do: %v", err)
			}
			if r.Outcome != tt.outcome || r.Ticket != tt.left || r.Tries != len(tt.steps) {
				t.Errorf("Do = %s, ticket %q, %d tries; want %s, %q, %d", r.Outcome, r.Ticket, r.Tries, tt.outcome, tt.left, len(tt.steps))
			}
			if asked != len(tt.asks) {
				t.Errorf("queried the outcome %d times, want %d", asked, len(tt.asks))
			}
			if !slices.Equal(tickets, tt.tickets) || !slices.Equal(daemons, tt.daemons) {
				t.Errorf("sent tickets %q to %q, want %q to %q", tickets, daemons, tt.tickets, tt.daemons)
			}
		})
	}
}

// TestOldTicketIsDropped checks that a ticket is not sent when it has been held for
// TicketLife.
func TestOldTicketIsDropped(t *testing.T) {
	var tickets []string
	c, _ := newClient(t, Config{
		Backoff: DefaultTicketLife,
		Exchange: func(m Message) (Reply, error) {
			tickets = append(tickets, Reply{Fields: m.Fields}.Field(header.Ticket))
			return exchangeStep{
				status:  503,
				outcome: header.NotRun,
				ticket:  "t" + strconv.Itoa(len(tickets)),
			}.reply(), nil
		},
		MaxBackoff: DefaultTicketLife,
		Deadline:   clock.Minute,
	})
	if _, err := c.Do(context.Background(), Request{Path: "payment/pay"}); err != nil {
		t.Fatalf("Do: %v", err)
	}
	if want := []string{"", "", "", ""}; !slices.Equal(tickets, want) {
		t.Errorf("sent tickets %q, want %q", tickets, want)
	}
}

func TestDoStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c, _ := newClient(t, Config{Exchange: func(Message) (Reply, error) {
		cancel()
		return Reply{}, errLost
	}})
	r, err := c.Do(ctx, Request{Path: "payment/pay"})
	if err != nil || r.Tries != 1 || r.Outcome != Unknown {
		t.Errorf("Do = %+v, %v; want one try and unknown", r, err)
	}
}

func TestAsk(t *testing.T) {
	tests := map[string]struct {
		step exchangeStep
		want Outcome
		left string
	}{
		"ran": {
			step: exchangeStep{
				status:  200,
				outcome: header.Done,
			},
			want: Done,
		},
		"fenced": {
			step: exchangeStep{
				status:  503,
				outcome: header.NotRun,
			},
			want: NotRun,
		},
		"running": {
			step: exchangeStep{
				status:  409,
				outcome: header.Unknown,
			},
			want: Unknown,
			left: "t0",
		},
		"lost": {
			step: exchangeStep{err: errLost},
			want: Unknown,
			left: "t0",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, _ := newClient(t, Config{Exchange: func(m Message) (Reply, error) {
				if m.Method != "GET" || m.Path != outcomePath || (Reply{Fields: m.Fields}).Field(header.Ticket) != "t0" {
					t.Errorf("unexpected outcome query %+v", m)
				}
				return tt.step.reply(), tt.step.err
			}})
			r, err := c.Ask(context.Background(), "t0")
			if err != nil || r.Outcome != tt.want || r.Ticket != tt.left {
				t.Errorf("Ask = %s, ticket %q, %v; want %s, %q", r.Outcome, r.Ticket, err, tt.want, tt.left)
			}
		})
	}
}

// fakeFleet simulates daemons that lose messages, and refuse or run requests. A
// request runs at most once for each ticket, and the outcome of a ticket never
// changes.
type fakeFleet struct {
	t    *rapid.T
	runs int
	// outcomes holds the outcome of each ticket, "" while it is not decided.
	outcomes map[string]string
}

func (f *fakeFleet) exchange(m Message) (Reply, error) {
	if rapid.Bool().Draw(f.t, "request lost") {
		return Reply{}, errLost
	}
	if m.Method == "GET" {
		return f.queryOutcome(Reply{Fields: m.Fields}.Field(header.Ticket))
	}
	s := f.serve(Reply{Fields: m.Fields}.Field(header.Ticket))
	if rapid.Bool().Draw(f.t, "answer lost") {
		return Reply{}, errLost
	}
	return s.reply(), nil
}

func (f *fakeFleet) serve(ticket string) exchangeStep {
	next := "t" + strconv.Itoa(len(f.outcomes))
	if ticket == "" {
		f.outcomes[next] = ""
		return exchangeStep{
			status:  428,
			outcome: header.NotRun,
			ticket:  next,
		}
	}
	if f.outcomes[ticket] == "" {
		f.outcomes[ticket] = header.NotRun
		if rapid.Bool().Draw(f.t, "runs") {
			f.outcomes[ticket] = header.Done
			f.runs++
		}
	}
	s := exchangeStep{
		status:  200,
		outcome: f.outcomes[ticket],
	}
	if s.outcome == header.NotRun {
		s.status = 503
		s.ticket = next
		f.outcomes[next] = ""
	}
	return s
}

// queryOutcome answers an outcome query, which fences a request that has not run.
func (f *fakeFleet) queryOutcome(ticket string) (Reply, error) {
	if f.outcomes[ticket] == "" {
		f.outcomes[ticket] = header.NotRun
	}
	if rapid.Bool().Draw(f.t, "query answer lost") {
		return Reply{}, errLost
	}
	return exchangeStep{
		status:  200,
		outcome: f.outcomes[ticket],
	}.reply(), nil
}

// TestOutcomesAreTrue checks that for any pattern of lost messages the request runs
// at most once and the reported outcome is correct.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &fakeFleet{
			t:        rt,
			outcomes: make(map[string]string),
		}
		c, _ := newClient(t, Config{
			Exchange: f.exchange,
			Tries:    rapid.IntRange(1, 8).Draw(rt, "tries"),
		})
		r, err := c.Do(context.Background(), Request{Path: "payment/pay"})
		if err != nil {
			rt.Fatalf("Do: %v", err)
		}
		isTrue := map[Outcome]bool{
			Done:    f.runs == 1,
			NotRun:  f.runs == 0,
			Unknown: f.runs <= 1,
		}
		if !isTrue[r.Outcome] {
			rt.Fatalf("outcome %s after %d runs", r.Outcome, f.runs)
		}
	})
}

func TestErrors(t *testing.T) {
	var e *Error
	if _, err := New(Config{}); !errors.As(err, &e) || e.Kind != Settings {
		t.Errorf("New without daemons = %v, want kind settings", err)
	}
	c, _ := newClient(t, Config{})
	if _, err := c.Do(context.Background(), Request{}); !errors.As(err, &e) || e.Kind != Misuse {
		t.Errorf("Do without a path = %v, want kind misuse", err)
	}
	if _, err := c.Ask(context.Background(), ""); !errors.As(err, &e) || e.Kind != Misuse {
		t.Errorf("Ask without a ticket = %v, want kind misuse", err)
	}
}
