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

// offer gets a ticket for front/pay at one of the daemons.
func (f *fleet) offer(key string) (sealed string) {
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

// pay redeems a ticket at the named daemon.
func (f *fleet) pay(name, key, sealed string) *fasthttp.Response {
	f.t.Helper()
	return f.call(name, "front/pay", map[string]string{
		header.IdempotencyKey: key,
		header.Ticket:         sealed,
	})
}

// homeOf returns the instance that a ticket names.
func (f *fleet) homeOf(sealed string) string {
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

// eventually waits for a condition; the time bounds a broken test only.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(readyWait)
	for !holds() {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) publish(change func(*rules.Document)) {
	f.t.Helper()
	parent := config.Digest(config.Encode(f.doc))
	doc := f.doc.WithVersion(f.doc.Version+1, parent, "tests", "change")
	change(&doc)
	f.doc = doc
	f.store.Publish(config.Encode(doc))
}

// waitChange waits until what was published last is in force everywhere.
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
		"connections go silent":                     silentConnections,
		"connection breaks under a running request": brokenWhileRunning,
		"target cuts its answer":                    targetCuts,
		"answer announces more than it brings":      targetLies,
		"daemon is killed":                          daemonKilled,
		"daemon is killed and started again":        daemonRestarted,
		"daemon stops as planned":                   daemonStops,
		"target leaves by rule":                     targetLeaves,
		"service replays an older value":            serviceReplays,
		"partition with retries on both sides":      partition,
		"configuration changes between retries":     changeBetweenRetries,
		"operation is no longer once-only":          onceEnds,
		"new daemon without configuration":          startsEmpty,
		"two callers use one ticket side by side":   sideBySide,
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			check(t, newFleet(t))
		})
	}
}

func silentConnections(t *testing.T, f *fleet) {
	for i := range 40 {
		if i%10 == 0 {
			for _, set := range f.set {
				f.network.BlackholeOpen(set.Host)
			}
		}
		if resp := f.call("front-1", "front/read", nil); outcomeOf(resp) != header.Done {
			t.Errorf("call %d: status %d, body %s", i, resp.StatusCode(), resp.Body())
		}
	}
}

// brokenWhileRunning checks that a caller gets the answer of a once-only
// request although the connection between the daemons broke while it ran.
func brokenWhileRunning(t *testing.T, f *fleet) {
	sealed := f.offer("broken")
	home := f.homeOf(sealed)
	target := f.targets[home]
	target.SetSpeed(0.005)
	answer := make(chan *fasthttp.Response)
	go func() { answer <- f.pay("back-1", "broken", sealed) }()
	eventually(t, "the request runs", func() bool { return target.Runs("front/pay")["broken"].Started == 1 })
	f.network.CloseOpen(f.set[home].Host)
	resp := <-answer
	if outcomeOf(resp) != header.Done || resp.StatusCode() != fasthttp.StatusOK {
		t.Errorf("outcome %q, status %d, body %s", outcomeOf(resp), resp.StatusCode(), resp.Body())
	}
}

func targetCuts(t *testing.T, f *fleet) {
	checkBrokenAnswer(t, f, fakes.Interrupted)
}

func targetLies(t *testing.T, f *fleet) {
	checkBrokenAnswer(t, f, fakes.WrongLength)
}

// checkBrokenAnswer checks that an answer that is not whole reaches nobody and
// that the request stays unknown and runs once.
func checkBrokenAnswer(t *testing.T, f *fleet, fault fakes.Fault) {
	sealed := f.offer("cut")
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
	if n := f.pays("cut"); n > 1 {
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

func daemonRestarted(t *testing.T, f *fleet) {
	sealed := f.offer("restart")
	home := f.homeOf(sealed)
	if resp := f.pay("back-1", "restart", sealed); outcomeOf(resp) != header.Done {
		t.Fatalf("first: status %d, body %s", resp.StatusCode(), resp.Body())
	}
	f.daemons[home].Kill()
	f.start(home)
	f.waitReady()
	if resp := f.pay("back-1", "restart", sealed); outcomeOf(resp) != header.Unknown {
		t.Errorf("after the restart: outcome %q, want unknown", outcomeOf(resp))
	}
	if n := f.pays("restart"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
	fresh := f.offer("restart-2")
	if resp := f.pay("back-2", "restart-2", fresh); outcomeOf(resp) != header.Done {
		t.Errorf("new ticket: status %d, body %s", resp.StatusCode(), resp.Body())
	}
}

func daemonStops(t *testing.T, f *fleet) {
	sealed := f.offer("stop")
	home := f.homeOf(sealed)
	first := append([]byte(nil), f.pay("back-1", "stop", sealed).Body()...)
	unused := ""
	for unused == "" || f.homeOf(unused) != home {
		unused = f.offer("unused")
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
	f.daemons[home].Stop()
	delete(f.daemons, home)
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
	if n := f.pays("stop"); n != 1 {
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
		t.Errorf("the leaving target got %d new requests", after-before)
	}
}

func serviceReplays(t *testing.T, f *fleet) {
	f.publish(func(doc *rules.Document) { doc.RetryBudget = 3 })
	f.waitChange()
	f.store.SetMode(fakes.Replay)
	f.start2(t)
	for name, d := range f.daemons {
		if v := d.view.Load().Rules.Version(); v != 2 {
			t.Errorf("%s has version %d in force, want 2", name, v)
		}
	}
}

// start2 restarts one daemon, which then sees the older value at the service
// and the newer one at its peers.
func (f *fleet) start2(t *testing.T) {
	t.Helper()
	f.daemons["back-2"].Kill()
	f.start("back-2")
	f.waitReady()
}

func partition(t *testing.T, f *fleet) {
	sealed := f.offer("split")
	home := f.homeOf(sealed)
	f.network.Partition(f.set[home].Host, f.set["back-2"].Host)
	if resp := f.pay("back-2", "split", sealed); outcomeOf(resp) != header.Unknown {
		t.Errorf("on the cut side: outcome %q, want unknown", outcomeOf(resp))
	}
	if resp := f.pay("back-1", "split", sealed); outcomeOf(resp) != header.Done {
		t.Errorf("on the other side: outcome %q, want done; body %s", outcomeOf(resp), resp.Body())
	}
	if resp := f.pay("back-2", "split", sealed); outcomeOf(resp) != header.Unknown {
		t.Errorf("on the cut side again: outcome %q, want unknown", outcomeOf(resp))
	}
	f.network.Heal()
	if resp := f.pay("back-2", "split", sealed); outcomeOf(resp) != header.Done {
		t.Errorf("after the cut: outcome %q, want done", outcomeOf(resp))
	}
	if n := f.pays("split"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

func changeBetweenRetries(t *testing.T, f *fleet) {
	sealed := f.offer("change")
	home := f.homeOf(sealed)
	first := append([]byte(nil), f.pay("back-1", "change", sealed).Body()...)
	f.publish(func(doc *rules.Document) { doc.Leaving = []string{home} })
	f.waitChange()
	if resp := f.pay("back-2", "change", sealed); !bytes.Equal(resp.Body(), first) {
		t.Errorf("answer %s, want the first one, %s", resp.Body(), first)
	}
	if n := f.pays("change"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// onceEnds checks that a ticket stays guarded when the rules change.
func onceEnds(t *testing.T, f *fleet) {
	sealed := f.offer("ends")
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
	if n := f.pays("ends"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// startsEmpty checks that a daemon which cannot serve yet does not call a
// request not-run that its predecessor ran.
func startsEmpty(t *testing.T, f *fleet) {
	sealed := f.offer("empty")
	home := f.homeOf(sealed)
	if resp := f.pay("back-1", "empty", sealed); outcomeOf(resp) != header.Done {
		t.Fatalf("first: status %d, body %s", resp.StatusCode(), resp.Body())
	}
	f.daemons[home].Kill()
	d, err := New(Config{
		Settings: f.set[home],
		Clock:    clock.System(),
		Log:      zap.NewNop(),
	})
	if err != nil {
		t.Fatalf("new daemon: %v", err)
	}
	if err := d.serve(d.set.Inbound, d.inbound.Handler); err != nil {
		t.Fatalf("serve: %v", err)
	}
	t.Cleanup(d.Kill)
	if resp := f.pay("back-1", "empty", sealed); outcomeOf(resp) != header.Unknown {
		t.Errorf("outcome %q, want unknown; body %s", outcomeOf(resp), resp.Body())
	}
}

func sideBySide(t *testing.T, f *fleet) {
	sealed := f.offer("both")
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
	if n := f.pays("both"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// TestBadInput sends what a careless or hostile caller might.
func TestBadInput(t *testing.T) {
	f := newFleet(t)
	addr := f.set["front-1"].addr(f.set["front-1"].Outbound)
	auth := "Authorization: Bearer " + testSecret + "\r\n"
	tests := map[string]struct {
		text   string
		status string
	}{
		"not HTTP": {
			text:   "hello\r\n\r\n",
			status: "400",
		},
		"absent service": {
			text:   "GET /nobody/read HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n",
			status: "404",
		},
		"absent operation": {
			text:   "GET /front/nothing HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n",
			status: "404",
		},
		"path of another form": {
			text:   "GET /front HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n",
			status: "404",
		},
		"no caller": {
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
				t.Errorf("answer %q is no problem with an outcome", answer)
			}
		})
	}
	for name, target := range f.targets {
		if n := target.Counts().Arrivals; n != 0 {
			t.Errorf("%s got %d requests", name, n)
		}
	}
}

// TestFormBody checks that a form with parts reaches the target, although the
// library would rather take it apart.
func TestFormBody(t *testing.T) {
	f := newFleet(t)
	var form strings.Builder
	for i := range 8 {
		form.WriteString("--b\r\nContent-Disposition: form-data; name=\"part " + strconv.Itoa(i) + "\"\r\n\r\nvalue\r\n")
	}
	form.WriteString("--b--\r\n")
	addr := f.set["front-1"].addr(f.set["front-1"].Outbound)
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
	_ = conn.SetDeadline(time.Now().Add(readyWait))
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

// TestSlowCallersHoldNoSlot lets more callers than there are slots stop in the
// middle of their requests. None of them may reach a target or hold up others.
func TestSlowCallersHoldNoSlot(t *testing.T) {
	f := newFleet(t)
	addr := f.set["front-1"].addr(f.set["front-1"].Outbound)
	for range 4 * f.set["front-1"].Slots {
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
		t.Errorf("a whole request beside slow ones: status %d, body %s", resp.StatusCode(), resp.Body())
	}
	arrivals := int64(0)
	for name, target := range f.targets {
		if strings.HasPrefix(name, "front") {
			arrivals += target.Counts().Arrivals
		}
	}
	if arrivals != 1 {
		t.Errorf("%d requests reached the targets, want the whole one", arrivals)
	}
}

// TestCancelReachesTheTarget lets a repeatable request run past its deadline at
// targets that heed neither the deadline nor a closed connection: they must be
// told to stop working on it.
func TestCancelReachesTheTarget(t *testing.T) {
	f := newFleetOf(t, func(cfg *fakes.TargetConfig) {
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
