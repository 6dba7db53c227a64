package daemon

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// obtainTicket returns a ticket for front/pay from one of the daemons.
func (f *fleet) obtainTicket(key string) (sealed string) {
	f.t.Helper()
	resp := f.call("back-1", "front/pay", map[string]string{
		header.IdempotencyKey: key,
	})
	sealed = string(resp.Header.Peek(header.Ticket))
	if sealed == "" {
		f.t.Fatalf("no ticket: status %d, body %s", resp.StatusCode(), resp.Body())
	}
	return sealed
}

// pay sends front/pay with a ticket to the named daemon.
func (f *fleet) pay(name, key, sealed string) *fasthttp.Response {
	f.t.Helper()
	return f.call(name, "front/pay", map[string]string{
		header.IdempotencyKey: key,
		header.Ticket:         sealed,
	})
}

// ticketTarget returns the name of the instance that a ticket names.
func (f *fleet) ticketTarget(sealed string) string {
	f.t.Helper()
	for name, d := range f.daemons {
		if !strings.HasPrefix(name, "front") {
			continue
		}
		tk, err := ticketsOf(f.t, d).Open(sealed)
		if err != nil {
			f.t.Fatalf("open ticket: %v", err)
		}
		return tk.Target
	}
	return ""
}

// eventually waits until holds returns true, and fails the test after
// readyTimeout.
func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(readyTimeout)
	for !holds() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// publish publishes the next version of the document, modified by change.
func (f *fleet) publish(change func(*rules.Document)) {
	f.t.Helper()
	parent := config.Digest(config.Encode(f.doc))
	doc := f.doc.WithVersion(f.doc.Version+1, parent, "tests", "change")
	change(&doc)
	f.doc = doc
	f.store.Publish(config.Encode(doc))
}

// waitChange waits until the document published last is in force at all daemons.
func (f *fleet) waitChange() {
	f.t.Helper()
	eventually(f.t, "the change is in force", func() bool {
		for _, d := range f.daemons {
			if v := d.view.Load(); v.Rules == nil || v.Rules.Version() != f.doc.Version {
				return false
			}
		}
		return true
	})
}

func TestFaults(t *testing.T) {
	tests := map[string]func(t *testing.T, f *fleet){
		"connections stop delivering data":          silentConnections,
		"connection breaks while a request runs":    brokenWhileRunning,
		"target interrupts its answer":              targetInterruptsAnswer,
		"answer is shorter than its Content-Length": targetSendsShortAnswer,
		"daemon is killed":                          daemonKilled,
		"daemon is killed and restarted":            daemonRestarted,
		"daemon stops gracefully":                   daemonStops,
		"rules mark a target as leaving":            targetLeaves,
		"configuration service replays older value": serviceReplays,
		"partition with retries on both sides":      partitionedFleet,
		"configuration changes between retries":     changeBetweenRetries,
		"operation becomes idempotent":              becomesIdempotent,
		"restarted daemon has no configuration":     startsWithoutConfig,
		"concurrent calls with one ticket":          concurrentCallers,
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			check(t, newFleet(t))
		})
	}
}

// silentConnections checks that calls succeed when the connections of all daemons
// repeatedly stop delivering data without being closed.
func silentConnections(t *testing.T, f *fleet) {
	for i := range 40 {
		if i%10 == 0 {
			for _, settings := range f.settings {
				f.network.BlackholeOpen(settings.Host)
			}
		}
		if resp := f.call("front-1", "front/read", nil); outcomeOf(resp) != header.Done {
			t.Errorf("call %d: status %d, body %s", i, resp.StatusCode(), resp.Body())
		}
	}
}

// brokenWhileRunning checks that a caller gets the answer of a non-idempotent
// request even if the connection between the daemons breaks while it runs.
func brokenWhileRunning(t *testing.T, f *fleet) {
	sealed := f.obtainTicket("broken")
	targetName := f.ticketTarget(sealed)
	target := f.targets[targetName]
	target.SetSpeed(0.005)
	answer := make(chan *fasthttp.Response)
	go func() { answer <- f.pay("back-1", "broken", sealed) }()
	eventually(t, "the request runs", func() bool { return target.Runs("front/pay")["broken"].Started == 1 })
	f.network.CloseOpen(f.settings[targetName].Host)
	resp := <-answer
	if outcomeOf(resp) != header.Done || resp.StatusCode() != fasthttp.StatusOK {
		t.Errorf("outcome %q, status %d, body %s", outcomeOf(resp), resp.StatusCode(), resp.Body())
	}
}

func targetInterruptsAnswer(t *testing.T, f *fleet) {
	checkIncompleteAnswer(t, f, fakes.Interrupted)
}

func targetSendsShortAnswer(t *testing.T, f *fleet) {
	checkIncompleteAnswer(t, f, fakes.WrongLength)
}

// checkIncompleteAnswer checks that a target's incomplete answer is not passed to
// callers, that the outcome stays unknown and that the request runs at most once.
func checkIncompleteAnswer(t *testing.T, f *fleet, fault fakes.Fault) {
	sealed := f.obtainTicket("cut")
	for _, target := range f.targets {
		target.SetFaults(fakes.Faults{
			Fault: fault,
			Share: 1,
		})
	}
	for _, name := range []string{"back-1", "front-1", "front-2"} {
		if resp := f.pay(name, "cut", sealed); outcomeOf(resp) != header.Unknown {
			t.Errorf("at %s: outcome %q, want unknown; body %s", name, outcomeOf(resp), resp.Body())
		}
	}
	if n := f.payRuns("cut"); n > 1 {
		t.Errorf("ran %d times", n)
	}
}

func daemonKilled(t *testing.T, f *fleet) {
	f.daemons["back-1"].Kill()
	delete(f.daemons, "back-1")
	for i := range 20 {
		if resp := f.call("front-1", "front/read", nil); outcomeOf(resp) != header.Done {
			t.Errorf("call %d: status %d, body %s", i, resp.StatusCode(), resp.Body())
		}
	}
}

// daemonRestarted checks that a daemon that lost its outcomes in a crash reports
// unknown for old tickets and runs requests with new ones.
func daemonRestarted(t *testing.T, f *fleet) {
	sealed := f.obtainTicket("restart")
	targetName := f.ticketTarget(sealed)
	if resp := f.pay("back-1", "restart", sealed); outcomeOf(resp) != header.Done {
		t.Fatalf("first: status %d, body %s", resp.StatusCode(), resp.Body())
	}
	f.daemons[targetName].Kill()
	f.start(targetName)
	f.waitReady()
	if resp := f.pay("back-1", "restart", sealed); outcomeOf(resp) != header.Unknown {
		t.Errorf("after the restart: outcome %q, want unknown", outcomeOf(resp))
	}
	if n := f.payRuns("restart"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
	fresh := f.obtainTicket("restart-2")
	if resp := f.pay("back-2", "restart-2", fresh); outcomeOf(resp) != header.Done {
		t.Errorf("new ticket: status %d, body %s", resp.StatusCode(), resp.Body())
	}
}

// daemonStops checks that calls succeed while a daemon stops, and that its
// successors answer for its used and unused tickets.
func daemonStops(t *testing.T, f *fleet) {
	sealed := f.obtainTicket("stop")
	targetName := f.ticketTarget(sealed)
	first := append([]byte(nil), f.pay("back-1", "stop", sealed).Body()...)
	unused := ""
	for unused == "" || f.ticketTarget(unused) != targetName {
		unused = f.obtainTicket("unused")
	}
	var wg sync.WaitGroup
	answers := make(chan *fasthttp.Response, 100)
	for range 4 {
		wg.Go(func() {
			for range 25 {
				answers <- f.call("back-2", "front/read", nil)
			}
		})
	}
	f.daemons[targetName].Stop()
	delete(f.daemons, targetName)
	wg.Wait()
	close(answers)
	for resp := range answers {
		if outcomeOf(resp) != header.Done {
			t.Errorf("during the stop: status %d, body %s", resp.StatusCode(), resp.Body())
		}
	}
	resp := f.pay("back-2", "stop", sealed)
	if outcomeOf(resp) != header.Done || !bytes.Equal(resp.Body(), first) {
		t.Errorf("after the stop: outcome %q, body %s, want the first answer %s", outcomeOf(resp), resp.Body(), first)
	}
	if resp := f.pay("back-2", "unused", unused); outcomeOf(resp) != header.NotRun {
		t.Errorf("unused ticket after the stop: outcome %q, want not-run", outcomeOf(resp))
	}
	if n := f.payRuns("stop"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

func targetLeaves(t *testing.T, f *fleet) {
	f.publish(func(doc *rules.Document) { doc.Leaving = []string{"front-1"} })
	f.waitChange()
	before := f.targets["front-1"].Counts().Arrivals
	for _, name := range []string{"front-1", "front-2", "back-1", "back-2"} {
		for range 10 {
			if resp := f.call(name, "front/read", nil); outcomeOf(resp) != header.Done {
				t.Errorf("at %s: status %d, body %s", name, resp.StatusCode(), resp.Body())
			}
		}
	}
	if after := f.targets["front-1"].Counts().Arrivals; after != before {
		t.Errorf("the leaving target received %d new requests", after-before)
	}
}

// serviceReplays checks that a daemon which restarts while the configuration service
// replays an older version still adopts the newer one, from its peers.
func serviceReplays(t *testing.T, f *fleet) {
	f.publish(func(doc *rules.Document) { doc.RetryBudget = 3 })
	f.waitChange()
	f.store.SetMode(fakes.Replay)
	f.restartBack2(t)
	for name, d := range f.daemons {
		if v := d.view.Load().Rules.Version(); v != 2 {
			t.Errorf("%s has version %d in force, want 2", name, v)
		}
	}
}

// restartBack2 restarts the daemon back-2, which then reads the older version from
// the configuration service and receives the newer one from its peers.
func (f *fleet) restartBack2(t *testing.T) {
	t.Helper()
	f.daemons["back-2"].Kill()
	f.start("back-2")
	f.waitReady()
}

// partitionedFleet retries a ticket from both sides of a network partition. The
// request must run once, and only the side that reaches its target learns the outcome
// before the partition ends.
func partitionedFleet(t *testing.T, f *fleet) {
	sealed := f.obtainTicket("split")
	targetName := f.ticketTarget(sealed)
	f.network.Partition(f.settings[targetName].Host, f.settings["back-2"].Host)
	if resp := f.pay("back-2", "split", sealed); outcomeOf(resp) != header.Unknown {
		t.Errorf("on the side without the target: outcome %q, want unknown", outcomeOf(resp))
	}
	if resp := f.pay("back-1", "split", sealed); outcomeOf(resp) != header.Done {
		t.Errorf("on the other side: outcome %q, want done; body %s", outcomeOf(resp), resp.Body())
	}
	if resp := f.pay("back-2", "split", sealed); outcomeOf(resp) != header.Unknown {
		t.Errorf("on the side without the target again: outcome %q, want unknown", outcomeOf(resp))
	}
	f.network.Heal()
	if resp := f.pay("back-2", "split", sealed); outcomeOf(resp) != header.Done {
		t.Errorf("after the partition: outcome %q, want done", outcomeOf(resp))
	}
	if n := f.payRuns("split"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// changeBetweenRetries checks that a retry returns the first answer although its
// target was marked as leaving in between.
func changeBetweenRetries(t *testing.T, f *fleet) {
	sealed := f.obtainTicket("change")
	targetName := f.ticketTarget(sealed)
	first := append([]byte(nil), f.pay("back-1", "change", sealed).Body()...)
	f.publish(func(doc *rules.Document) { doc.Leaving = []string{targetName} })
	f.waitChange()
	if resp := f.pay("back-2", "change", sealed); !bytes.Equal(resp.Body(), first) {
		t.Errorf("answer %s, want the first one, %s", resp.Body(), first)
	}
	if n := f.payRuns("change"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// becomesIdempotent checks that a request with an old ticket still runs at most once
// after the rules have made its operation idempotent.
func becomesIdempotent(t *testing.T, f *fleet) {
	sealed := f.obtainTicket("ends")
	first := append([]byte(nil), f.pay("back-1", "ends", sealed).Body()...)
	f.publish(func(doc *rules.Document) {
		doc.Services[0].Operations[1].AtMostOnce = false
		doc.Services[0].Operations[1].Calls = nil
	})
	f.waitChange()
	for _, name := range []string{"back-1", "front-1", "front-2"} {
		if resp := f.pay(name, "ends", sealed); !bytes.Equal(resp.Body(), first) {
			t.Errorf("at %s: answer %s, want the first one, %s", name, resp.Body(), first)
		}
	}
	if n := f.payRuns("ends"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// startsWithoutConfig checks that a restarted daemon that has no configuration yet
// does not answer not-run for a request that ran before the restart.
func startsWithoutConfig(t *testing.T, f *fleet) {
	sealed := f.obtainTicket("empty")
	targetName := f.ticketTarget(sealed)
	if resp := f.pay("back-1", "empty", sealed); outcomeOf(resp) != header.Done {
		t.Fatalf("first: status %d, body %s", resp.StatusCode(), resp.Body())
	}
	f.daemons[targetName].Kill()
	d, err := New(Config{
		Settings: f.settings[targetName],
		Clock:    clock.System(),
		Log:      zap.NewNop(),
	})
	if err != nil {
		t.Fatalf("new daemon: %v", err)
	}
	if err := d.serve(d.settings.Inbound, d.inbound.Handler); err != nil {
		t.Fatalf("serve: %v", err)
	}
	t.Cleanup(d.Kill)
	if resp := f.pay("back-1", "empty", sealed); outcomeOf(resp) != header.Unknown {
		t.Errorf("outcome %q, want unknown; body %s", outcomeOf(resp), resp.Body())
	}
}

// concurrentCallers checks that concurrent calls with one ticket run the request
// once and all return the same answer.
func concurrentCallers(t *testing.T, f *fleet) {
	sealed := f.obtainTicket("both")
	var wg sync.WaitGroup
	bodies := make(chan string, 8)
	for i := range 8 {
		name := []string{"front-1", "front-2", "back-1", "back-2"}[i%4]
		wg.Go(func() { bodies <- string(f.pay(name, "both", sealed).Body()) })
	}
	wg.Wait()
	close(bodies)
	first := <-bodies
	for body := range bodies {
		if body != first {
			t.Errorf("answers differ: %s and %s", first, body)
		}
	}
	if n := f.payRuns("both"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// TestBadInput checks that malformed, unauthorized and forged requests are refused
// with a problem document and do not reach a target.
func TestBadInput(t *testing.T) {
	f := newFleet(t)
	addr := f.settings["front-1"].addr(f.settings["front-1"].Outbound)
	auth := "Authorization: Bearer " + testSecret + "\r\n"
	tests := map[string]struct {
		text   string
		status string
	}{
		"not HTTP": {
			text:   "hello\r\n\r\n",
			status: "400",
		},
		"unknown service": {
			text:   "GET /nobody/read HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n",
			status: "404",
		},
		"unknown operation": {
			text:   "GET /front/nothing HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n",
			status: "404",
		},
		"path without an operation": {
			text:   "GET /front HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n",
			status: "404",
		},
		"no credentials": {
			text:   "GET /front/read HTTP/1.1\r\nHost: x\r\n\r\n",
			status: "401",
		},
		"unknown caller": {
			text:   "GET /front/read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer guess\r\n\r\n",
			status: "401",
		},
		"expired deadline": {
			text:   "GET /front/read HTTP/1.1\r\nHost: x\r\n" + auth + header.Deadline + ": 0\r\n\r\n",
			status: "504",
		},
		"deadline that is no number": {
			text:   "GET /front/read HTTP/1.1\r\nHost: x\r\n" + auth + header.Deadline + ": soon\r\n\r\n",
			status: "400",
		},
		"importance that does not exist": {
			text:   "GET /front/read HTTP/1.1\r\nHost: x\r\n" + auth + header.Importance + ": utmost\r\n\r\n",
			status: "400",
		},
		"oversize body": {
			text:   "POST /front/read HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 99999999\r\n\r\n",
			status: "413",
		},
		"forged context": {
			text:   "GET /front/read HTTP/1.1\r\nHost: x\r\n" + header.Context + ": 00\r\n\r\n",
			status: "409",
		},
		"forged ticket": {
			text:   "GET /front/pay HTTP/1.1\r\nHost: x\r\n" + auth + header.Ticket + ": AAAA\r\n\r\n",
			status: "403",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			answer := exchangeRaw(t, addr, tt.text)
			if !strings.HasPrefix(answer, "HTTP/1.1 "+tt.status) {
				t.Errorf("answer %q, want status %s", answer, tt.status)
			}
			if !strings.Contains(answer, "application/problem+json") || !strings.Contains(answer, header.Outcome+": ") {
				t.Errorf("answer %q is not a problem document with an outcome", answer)
			}
		})
	}
	for name, target := range f.targets {
		if n := target.Counts().Arrivals; n != 0 {
			t.Errorf("%s received %d requests, want none", name, n)
		}
	}
}

// TestFormBody checks that a multipart form reaches the target. By default the HTTP
// library would parse it.
func TestFormBody(t *testing.T) {
	f := newFleet(t)
	var form strings.Builder
	for i := range 8 {
		form.WriteString("--b\r\nContent-Disposition: form-data; name=\"part " + strconv.Itoa(i) + "\"\r\n\r\nvalue\r\n")
	}
	form.WriteString("--b--\r\n")
	addr := f.settings["front-1"].addr(f.settings["front-1"].Outbound)
	answer := exchangeRaw(t, addr, "POST /back/read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testSecret+
		"\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: "+strconv.Itoa(form.Len())+"\r\n\r\n"+form.String())
	if !strings.Contains(answer, header.Outcome+": "+header.Done) {
		t.Errorf("answer %q, want done", answer)
	}
}

func exchangeRaw(t *testing.T, addr, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(readyTimeout))
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatalf("write: %v", err)
	}
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	return string(buf[:n])
}

// TestSlowCallersHoldNoSlot sends more incomplete requests than the target has
// slots. None of them may reach a target or block a complete request.
func TestSlowCallersHoldNoSlot(t *testing.T) {
	f := newFleet(t)
	addr := f.settings["front-1"].addr(f.settings["front-1"].Outbound)
	for range 4 * f.settings["front-1"].Slots {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatalf("dial: %v", err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := conn.Write([]byte("POST /front/read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testSecret + "\r\nContent-Length: 100\r\n\r\nhalf")); err != nil {
			t.Fatalf("write: %v", err)
		}
	}
	if resp := f.call("front-1", "front/read", nil); outcomeOf(resp) != header.Done {
		t.Errorf("a complete request beside slow ones: status %d, body %s", resp.StatusCode(), resp.Body())
	}
	arrivals := int64(0)
	for name, target := range f.targets {
		if strings.HasPrefix(name, "front") {
			arrivals += target.Counts().Arrivals
		}
	}
	if arrivals != 1 {
		t.Errorf("%d requests reached the targets, want only the complete one", arrivals)
	}
}

// TestCancelReachesTheTarget lets an idempotent request run past its deadline at
// targets that ignore both the deadline and a closed connection. The daemon must
// cancel the work at the target.
func TestCancelReachesTheTarget(t *testing.T) {
	f := newFleetWith(t, func(cfg *fakes.TargetConfig) {
		cfg.IgnoreDeadline = true
		cfg.IgnoreDisconnect = true
	})
	for _, target := range f.targets {
		target.SetSpeed(0.001)
	}
	resp := f.call("back-1", "front/read", map[string]string{
		header.Deadline: "100",
	})
	if outcomeOf(resp) == header.Done {
		t.Fatalf("status %d within the deadline, body %s", resp.StatusCode(), resp.Body())
	}
	eventually(t, "a target has cancelled the work", func() bool {
		for _, target := range f.targets {
			if target.Counts().Cancelled > 0 {
				return true
			}
		}
		return false
	})
}
