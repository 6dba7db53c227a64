package flow

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// newTestOutbound returns an outbound side at the instant now, whose upload route /u/ has the
// only target t of the service s.
func newTestOutbound(now *clock.Milli) *Outbound {
	v := &model.View{
		Config: &model.Config{
			Hosts: map[string][]model.Route{
				"h": {
					{
						Name:       "u",
						Prefix:     "/u/",
						AtMostOnce: true,
						Upload:     true,
						Priority:   1,
						Timeout:    2 * clock.Second,
						Services: []model.WeightedService{
							{
								Service: "s",
								Weight:  1,
							},
						},
					},
				},
			},
		},
		Fleet: model.Fleet{}.WithList(1, []model.Target{
			{
				ID:      "t",
				Service: "s",
				Addr:    "127.0.0.2:1",
			},
		}, false),
	}
	in := newTestInbound(zap.NewNop())
	in.cfg.Clock.Now = func() clock.Milli { return *now }
	in.cfg.Headers.Deadline = "Deadline-Ms"
	in.cfg.View = func() *model.View { return v }
	in.cfg.Metrics.Answered = func(string, clock.Milli) {}
	return NewOutbound(in.cfg, in)
}

// Guards against an upload whose body is read though every target would refuse it, and
// against uploads that are refused by thresholds that no longer apply.
func TestPrecheckKnowsThatCapacityIsShort(t *testing.T) {
	tests := map[string]struct {
		threshold admit.Threshold
		age       clock.Milli
		path      string
		deadline  string
		stopIn    clock.Milli
		want      int
	}{
		"room": {},
		"no room": {
			threshold: admit.Highest(),
			want:      fasthttp.StatusServiceUnavailable,
		},
		"no room a while ago": {
			threshold: admit.Highest(),
			age:       clock.Second,
		},
		"no route": {
			path: "/v/1",
			want: fasthttp.StatusNotFound,
		},
		"ends before the stop": {
			stopIn: 3 * clock.Second,
		},
		"lasts beyond the stop": {
			stopIn: clock.Second,
			want:   fasthttp.StatusServiceUnavailable,
		},
		"ends before an early stop": {
			stopIn:   clock.Second,
			deadline: "500",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := clock.Milli(1000)
			o := newTestOutbound(&now)
			s := o.service("s")
			s.refresh(now, o.cfg.View(), "s", &o.cfg.Self)
			s.applyFeedback(now, "t", "u", peer.Feedback{
				Threshold: tt.threshold,
			})
			if tt.stopIn > 0 {
				o.StopAt(now + tt.stopIn)
			}
			now += tt.age
			r := &http1.Request{
				Method:  "POST",
				Host:    "h",
				URI:     "/u/1",
				Arrived: now,
			}
			if tt.path != "" {
				r.URI = tt.path
			}
			r.Fields = http1.WithField(nil, "Deadline-Ms", tt.deadline)
			reply, refused := o.Precheck(r)
			if refused != (tt.want != 0) || reply.Status != tt.want {
				t.Errorf("refused %v with status %d, want %d", refused, reply.Status, tt.want)
			}
		})
	}
}

// Guards against an attempt that is reported as not run, since its body was not read, and
// that runs after all.
func TestUnreadAttemptNeverRuns(t *testing.T) {
	tests := map[string]struct {
		// begun says that the attempt has arrived before.
		begun bool
		act   func(n *Inbound, r *http1.Request) guard.Answer
		// told says that the answer promises that the attempt has not run.
		told bool
	}{
		"refused by its header": {
			act: func(n *Inbound, r *http1.Request) guard.Answer {
				n.Drain()
				reply, _ := n.Precheck(r)
				return reply.Answer
			},
			told: true,
		},
		"given up within its body": {
			act: func(n *Inbound, r *http1.Request) guard.Answer {
				return n.Unread(r, guard.Answer{
					Status: fasthttp.StatusRequestTimeout,
				})
			},
			told: true,
		},
		"arrived before": {
			begun: true,
			act: func(n *Inbound, r *http1.Request) guard.Answer {
				return n.Unread(r, guard.Answer{
					Status: fasthttp.StatusServiceUnavailable,
				})
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newTestInbound(zap.NewNop())
			now := n.cfg.Clock.Now()
			hop := peer.Hop{
				Target: "t",
				Path:   "u",
				Key:    "k/1",
				Stamp:  n.table.Stamp(now),
			}
			r := &http1.Request{}
			r.Fields = http1.WithField(nil, peer.HeaderHop, hop.String())
			if tt.begun {
				n.table.Begin(now, ticketOf(hop), 0)
			}
			a := tt.act(n, r)
			fb, err := peer.ParseFeedback(http1.Get(a.Fields, peer.HeaderFeedback))
			if told := err == nil && fb.Outcome == peer.NotRun; told != tt.told {
				t.Errorf("feedback %+v, %v, want not run: %v", fb, err, tt.told)
			}
			n.draining = false
			if tt.begun {
				return
			}
			if _, fb := n.Run(context.Background(), r, hop); fb.Outcome != peer.NotRun || fb.ReachedTarget {
				t.Errorf("the late copy: %+v, want not run", fb)
			}
		})
	}
}
