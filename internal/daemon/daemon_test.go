package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	testSecret = "secret-of-the-shop"
	testKey    = "000102030405060708090a0b0c0d0e0f"
	// readyTimeout ends a wait in a broken test. It is long enough for slow
	// machines and checks no promise about latency.
	readyTimeout = 20 * time.Second
)

// fleet is a fleet on loopback with two services, each with two instances. "front"
// calls "back".
type fleet struct {
	t        testing.TB
	store    *fakes.Store
	network  *fakes.Network
	doc      rules.Document
	daemons  map[string]*Daemon
	targets  map[string]*fakes.Target
	settings map[string]Settings
}

// nextHost counts the addresses that freeHost has returned.
var nextHost atomic.Uint32

// freeHost returns an unused loopback address, so that the fixed ports on it cannot
// collide with outgoing connections or with other test processes.
func freeHost() string {
	n := nextHost.Add(1)
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>8&0x3f, pid&0xff, 1+n%250)
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	return newFleetWith(t, func(*fakes.TargetConfig) {})
}

// newFleetWith starts a fleet; change may modify the configuration of each target.
func newFleetWith(t testing.TB, change func(*fakes.TargetConfig)) *fleet {
	t.Helper()
	store, err := fakes.NewStore(fakes.StoreConfig{})
	if err != nil {
		t.Fatalf("store: %v", err)
	}
	t.Cleanup(func() { _ = store.Close() })
	f := &fleet{
		t:        t,
		store:    store,
		network:  fakes.NewNetwork(),
		daemons:  make(map[string]*Daemon),
		targets:  make(map[string]*fakes.Target),
		settings: make(map[string]Settings),
	}
	f.doc = f.document()
	for _, s := range f.doc.Services {
		for _, i := range s.Instances {
			f.addTarget(s, i, change)
		}
	}
	store.Publish(config.Encode(f.doc))
	for name := range f.settings {
		f.start(name)
	}
	f.waitReady()
	return f
}

func (f *fleet) document() rules.Document {
	sum := sha256.Sum256([]byte(testSecret))
	doc := rules.Document{
		Version:     1,
		Author:      "tests",
		Reason:      "first",
		RetryBudget: 4,
		Regions: []rules.Region{
			{
				Name:    "west",
				Centres: []string{"w1"},
			},
		},
		Objectives: []rules.Objective{
			{
				Service: "front",
				Good:    999_000,
				Latency: 5000,
			},
		},
		Callers: []rules.Caller{
			{
				Name:    "shop",
				Secret:  hex.EncodeToString(sum[:]),
				Ceiling: rules.Vital,
			},
		},
		Services: []rules.Service{
			{
				Name:  "front",
				Owner: "tests",
				Operations: []rules.Operation{
					{
						Name:       "read",
						Importance: rules.Normal,
						Deadline:   5000,
						Calls:      []string{"back/read"},
					},
					{
						Name:       "pay",
						Importance: rules.Vital,
						AtMostOnce: true,
						Deadline:   5000,
						Calls:      []string{"back/post"},
					},
				},
			},
			{
				Name:  "back",
				Owner: "tests",
				Operations: []rules.Operation{
					{
						Name:       "read",
						Importance: rules.Normal,
						Deadline:   4000,
					},
					{
						Name:       "post",
						Importance: rules.Vital,
						AtMostOnce: true,
						Deadline:   4000,
					},
				},
			},
		},
	}
	for i := range doc.Services {
		for n := range 2 {
			doc.Services[i].Instances = append(doc.Services[i].Instances, rules.Instance{
				Name:     doc.Services[i].Name + "-" + strconv.Itoa(n+1),
				Place:    "west/w1",
				Host:     freeHost(),
				Inbound:  7001,
				Outbound: 7002,
				Control:  7003,
				Operator: 7004,
				Slots:    8,
				Conns:    64,
			})
		}
	}
	return doc
}

func (f *fleet) addTarget(s rules.Service, i rules.Instance, change func(*fakes.TargetConfig)) {
	f.t.Helper()
	operations := make(map[string]fakes.Operation)
	for _, op := range s.Operations {
		operations[s.Name+"/"+op.Name] = fakes.Operation{
			ServiceTime: 2,
			Calls:       op.Calls,
			AtMostOnce:  op.AtMostOnce,
		}
	}
	cfg := fakes.TargetConfig{
		Name:       i.Name,
		Slots:      i.Slots,
		Conns:      i.Conns,
		Operations: operations,
		Outbound:   net.JoinHostPort(i.Host, strconv.Itoa(i.Outbound)),
	}
	change(&cfg)
	target, err := fakes.NewTarget(cfg)
	if err != nil {
		f.t.Fatalf("target: %v", err)
	}
	f.t.Cleanup(func() { _ = target.Close() })
	f.targets[i.Name] = target
	f.settings[i.Name] = Settings{
		Name:     i.Name,
		Region:   "west",
		Centre:   "w1",
		Host:     i.Host,
		Inbound:  i.Inbound,
		Outbound: i.Outbound,
		Control:  i.Control,
		Operator: i.Operator,
		Target:   target.Addr(),
		Slots:    i.Slots,
		Conns:    i.Conns,
		Store:    f.store.Addr(),
		Keys:     []string{testKey},
		Grace:    5 * clock.Second,
		Log:      "error",
	}.WithDefaults()
}

func (f *fleet) start(name string) {
	f.t.Helper()
	settings := f.settings[name]
	if err := settings.Check(); err != nil {
		f.t.Fatalf("settings: %v", err)
	}
	d, err := New(Config{
		Settings: settings,
		Clock:    clock.System(),
		Log:      zap.NewNop(),
		Connect:  f.network.Connect(settings.Host),
	})
	if err != nil {
		f.t.Fatalf("new daemon: %v", err)
	}
	if err := d.Start(); err != nil {
		f.t.Fatalf("start daemon: %v", err)
	}
	f.daemons[name] = d
	f.t.Cleanup(func() { d.Kill() })
}

func (f *fleet) waitReady() {
	f.t.Helper()
	end := time.Now().Add(readyTimeout)
	for _, d := range f.daemons {
		for !d.view.Load().Ready {
			if time.Now().After(end) {
				f.t.Fatalf("%s is not ready", d.settings.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// call sends one request as an external caller to the named daemon.
func (f *fleet) call(name, path string, fields map[string]string) *fasthttp.Response {
	f.t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	f.t.Cleanup(func() { fasthttp.ReleaseResponse(resp) })
	settings := f.settings[name]
	req.SetRequestURI("http://" + settings.addr(settings.Outbound) + "/" + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+testSecret)
	for k, v := range fields {
		req.Header.Set(k, v)
	}
	req.SetBodyString("body")
	client := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
	}
	if err := client.DoTimeout(req, resp, 10*time.Second); err != nil {
		f.t.Fatalf("call %s at %s: %v", path, name, err)
	}
	return resp
}

func outcomeOf(resp *fasthttp.Response) string {
	return string(resp.Header.Peek(header.Outcome))
}

// payRuns returns how often the targets started front/pay with the key.
func (f *fleet) payRuns(key string) int {
	n := 0
	for _, target := range f.targets {
		n += target.Runs("front/pay")[key].Started
	}
	return n
}

func TestCallsThroughTheFleet(t *testing.T) {
	f := newFleet(t)
	if resp := f.call("back-1", "front/read", nil); resp.StatusCode() != 200 || outcomeOf(resp) != header.Done {
		t.Errorf("read: status %d, outcome %q, body %s", resp.StatusCode(), outcomeOf(resp), resp.Body())
	}
	t.Run("request without a ticket never runs", func(t *testing.T) {
		for _, daemon := range []string{"front-1", "back-2"} {
			resp := f.call(daemon, "front/pay", map[string]string{
				header.IdempotencyKey: "bare",
			})
			if resp.StatusCode() != fasthttp.StatusPreconditionRequired || outcomeOf(resp) != header.NotRun || len(resp.Header.Peek(header.Ticket)) == 0 {
				t.Errorf("status %d, outcome %q, body %s", resp.StatusCode(), outcomeOf(resp), resp.Body())
			}
		}
		if n := f.payRuns("bare"); n != 0 {
			t.Errorf("ran %d times", n)
		}
	})
	t.Run("request with a ticket runs once through any daemon", func(t *testing.T) {
		sealed := string(f.call("front-1", "front/pay", map[string]string{
			header.IdempotencyKey: "pay-1",
		}).Header.Peek(header.Ticket))
		var first []byte
		for _, daemon := range []string{"front-1", "front-2", "back-1", "back-2"} {
			resp := f.call(daemon, "front/pay", map[string]string{
				header.IdempotencyKey: "pay-1",
				header.Ticket:         sealed,
			})
			if resp.StatusCode() != 200 || outcomeOf(resp) != header.Done {
				t.Fatalf("at %s: status %d, outcome %q, body %s", daemon, resp.StatusCode(), outcomeOf(resp), resp.Body())
			}
			if first == nil {
				first = append([]byte(nil), resp.Body()...)
			}
			if string(resp.Body()) != string(first) {
				t.Errorf("at %s: answer %s, want the first one, %s", daemon, resp.Body(), first)
			}
		}
		if n := f.payRuns("pay-1"); n != 1 {
			t.Errorf("ran %d times, want 1", n)
		}
	})
}

func ticketsOf(t testing.TB, d *Daemon) *ticket.Keys {
	t.Helper()
	keys, err := ticket.NewKeys(d.settings.secrets()...)
	if err != nil {
		t.Fatalf("keys: %v", err)
	}
	return keys
}
