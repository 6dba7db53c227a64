package fakes

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// Host is an entry of the list of hosts.
type Host struct {
	// Name is the name of the target on the host.
	Name string `json:"name"`
	// Addr is the IP address of the host.
	Addr string `json:"addr"`
	// Leaving is set while the host is being taken out of service.
	Leaving bool `json:"leaving,omitempty"`
}

// RosterConfig configures a [Roster].
type RosterConfig struct {
	// Addr is "ip:port"; empty means a free port on loopback.
	Addr string
	// Lag is the delay until readers see a change.
	Lag clock.Milli
	// Clock is the time; the zero value means the clock of the host.
	Clock clock.Clock
}

// Roster is a fake list of the live and leaving hosts. Like that of the
// platform, it lags behind the changes. GET /hosts returns a JSON array of
// [Host].
type Roster struct {
	*server
	cfg RosterConfig

	mu      sync.Mutex
	visible []Host
	pending []delayedList
	down    bool
	reads   int64
}

// delayedList is a list of hosts that readers see from visibleFrom on.
type delayedList struct {
	visibleFrom clock.Milli
	hosts       []Host
}

// NewRoster starts a server with an empty list of hosts.
func NewRoster(cfg RosterConfig) (*Roster, error) {
	if cfg.Clock.Now == nil {
		cfg.Clock = clock.System()
	}
	r := &Roster{
		cfg:     cfg,
		visible: []Host{},
	}
	srv, err := serve(cfg.Addr, 0, r.handle)
	if err != nil {
		return nil, err
	}
	r.server = srv
	return r, nil
}

// Set replaces the list. Readers see the new one after the lag.
func (r *Roster) Set(hosts []Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, delayedList{
		visibleFrom: r.cfg.Clock.Now() + r.cfg.Lag,
		hosts:       slices.Clone(hosts),
	})
}

// SetDown makes r close connections without an answer while down is set.
func (r *Roster) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// Reads returns the number of requests received.
func (r *Roster) Reads() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// read counts a request and returns the list that readers see now, and false
// while r is down.
func (r *Roster) read() ([]Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	now := r.cfg.Clock.Now()
	for len(r.pending) > 0 && r.pending[0].visibleFrom <= now {
		r.visible = r.pending[0].hosts
		r.pending = r.pending[1:]
	}
	return r.visible, !r.down
}

func (r *Roster) handle(ctx *fasthttp.RequestCtx) {
	hosts, ok := r.read()
	if !ok {
		closeWithoutAnswer(ctx)
		return
	}
	if string(ctx.Path()) != "/hosts" || !ctx.IsGet() {
		ctx.Error("no such resource", fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, hosts)
}

// writeJSON answers with v as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
