package fakes

import (
	"sync"
	"testing"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// targetTest holds the target, client and clock of a case of
// [TestTargetContract].
type targetTest struct {
	target *Target
	caller *caller
	clock  *clock.Fake
}

// send calls an operation and returns the status and outcome of the answer.
func (c targetTest) send(path string, fields map[string]string) (int, string) {
	status, head, _ := c.caller.do("POST", path, fields)
	return status, string(head.Peek(header.Outcome))
}

// start sends a request in the background and waits until the target has it. It
// does not complete before the clock is advanced by its service time, an hour.
func (c targetTest) start(wg *sync.WaitGroup, fields map[string]string, status *int) {
	before := c.target.currentLoad()
	wg.Go(func() { *status, _ = c.send("stock/count", fields) })
	until(func() bool {
		now := c.target.currentLoad()
		return now.Running+now.Waiting > before.Running+before.Waiting
	})
}

// idle advances the clock in steps until the target runs no request.
func (c targetTest) idle(step clock.Milli) {
	until(func() bool {
		c.clock.Advance(step)
		return c.target.currentLoad().Running == 0
	})
}

// TestTargetContract checks what daemons rely on in the interface of a target.
func TestTargetContract(t *testing.T) {
	var wg sync.WaitGroup
	tests := map[string]func(t *testing.T, c targetTest){
		"unknown operation is not found": func(t *testing.T, c targetTest) {
			if status, _ := c.send("stock/none", nil); status != 404 {
				t.Errorf("status %d, want 404", status)
			}
		},
		"draining refuses new requests and completes running ones": func(t *testing.T, c targetTest) {
			var old int
			c.start(&wg, map[string]string{header.Attempt: "a"}, &old)
			if status, _, _ := c.caller.do("POST", "drain", nil); status != 200 {
				t.Errorf("drain = %d, want 200", status)
			}
			if status, outcome := c.send("stock/look", nil); status != 503 || outcome != header.NotRun {
				t.Errorf("new request = %d, %q, want 503, not-run", status, outcome)
			}
			if status, _, _ := c.caller.do("GET", "health", nil); status != 503 {
				t.Errorf("health = %d, want 503", status)
			}
			c.idle(clock.Hour)
			wg.Wait()
			if old != 200 {
				t.Errorf("running request = %d, want 200", old)
			}
		},
		"cancelling a running request ends it": func(t *testing.T, c targetTest) {
			var status int
			c.start(&wg, map[string]string{header.Attempt: "a"}, &status)
			if got, _, _ := c.caller.do("DELETE", "attempts/a", nil); got != 200 {
				t.Errorf("cancel = %d, want 200", got)
			}
			wg.Wait()
			if n := c.target.Counts(); status != statusClientClosed || n.Cancelled != 1 || n.Completed != 0 {
				t.Errorf("status %d, %+v, want %d and no completion", status, n, statusClientClosed)
			}
			if got, _, _ := c.caller.do("DELETE", "attempts/a", nil); got != 404 {
				t.Errorf("second cancel = %d, want 404", got)
			}
		},
		"cancelling a queued request keeps it from running": func(t *testing.T, c targetTest) {
			var first, second int
			c.start(&wg, map[string]string{header.Attempt: "a"}, &first)
			c.start(&wg, map[string]string{header.Attempt: "b"}, &second)
			for _, attempt := range []string{"b", "a"} {
				if got, _, _ := c.caller.do("DELETE", "attempts/"+attempt, nil); got != 200 {
					t.Errorf("cancel of %s = %d, want 200", attempt, got)
				}
			}
			wg.Wait()
			if n := c.target.Counts(); n.Refused != 1 || n.Cancelled != 1 {
				t.Errorf("%+v, want one refused and one cancelled", n)
			}
		},
		"a passed deadline ends a request": func(t *testing.T, c targetTest) {
			var status int
			c.start(&wg, map[string]string{header.Deadline: "100"}, &status)
			c.idle(disconnectCheck)
			wg.Wait()
			if n := c.target.Counts(); status == 200 || n.Completed != 0 {
				t.Errorf("status %d, %+v, want no completion", status, n)
			}
		},
		"a client disconnect ends a request": func(t *testing.T, c targetTest) {
			var status int
			c.caller.timeout = 30 * time.Millisecond
			c.start(&wg, nil, &status)
			wg.Wait()
			c.idle(disconnectCheck)
			if n := c.target.Counts(); n.Cancelled != 1 {
				t.Errorf("%+v, want one cancelled", n)
			}
		},
		"a load report lags": func(t *testing.T, c targetTest) {
			report := func() Load {
				var l Load
				_ = c.caller.get("load", &l)
				return l
			}
			before := report()
			var status int
			c.start(&wg, map[string]string{header.Attempt: "a"}, &status)
			during := report()
			c.clock.Advance(clock.Second)
			after := report()
			c.idle(clock.Hour)
			wg.Wait()
			if before.Running != 0 || during.Running != 0 || after.Running != 1 {
				t.Errorf("running %d, %d, %d, want 0, 0, 1", before.Running, during.Running, after.Running)
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake(0)
			target := newTarget(t, TargetConfig{
				Slots: 1,
				Conns: 8,
				Operations: map[string]Operation{
					"stock/look": {},
					"stock/count": {
						ServiceTime: clock.Hour,
					},
				},
				ReportLag: clock.Second,
				Clock:     fake.Clock(),
			})
			test(t, targetTest{
				target: target,
				caller: newCaller(t, target.Addr()),
				clock:  fake,
			})
		})
	}
}

// TestServiceTime checks how cold start, speed and jitter change the service
// time.
func TestServiceTime(t *testing.T) {
	fake := clock.NewFake(0)
	target := newTarget(t, TargetConfig{
		Slots: 1,
		Conns: 1,
		Cold: ColdStart{
			Length: 10 * clock.Second,
			Factor: 5,
		},
		Clock: fake.Clock(),
	})
	op := Operation{
		ServiceTime: 100,
	}
	steps := []struct {
		advance clock.Milli
		speed   float64
		want    clock.Milli
	}{
		{
			speed: 1,
			want:  500,
		},
		{
			advance: 5 * clock.Second,
			speed:   1,
			want:    300,
		},
		{
			advance: 5 * clock.Second,
			speed:   0.1,
			want:    1000,
		},
	}
	for _, s := range steps {
		fake.Advance(s.advance)
		target.SetSpeed(s.speed)
		if got, _ := target.draw(op); got != s.want {
			t.Errorf("after %d ms at speed %v: %d ms, want %d", fake.Now(), s.speed, got, s.want)
		}
	}
	op.Jitter = 0.5
	target.SetSpeed(1)
	least, most := clock.Hour, clock.Milli(0)
	for range 1000 {
		d, _ := target.draw(op)
		least, most = min(least, d), max(most, d)
	}
	if least < 50 || least > 60 || most > 150 || most < 140 {
		t.Errorf("service times from %d to %d, want 50 to 150", least, most)
	}
}
