package fakes

import (
	"sync"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// Load is the load report of a [Target], the body of GET /load.
type Load struct {
	Name     string `json:"name"`
	Slots    int    `json:"slots"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Draining bool   `json:"draining"`
}

// currentLoad returns the load of t at this moment.
func (t *Target) currentLoad() Load {
	return Load{
		Name:     t.cfg.Name,
		Slots:    t.cfg.Slots,
		Running:  int(t.running.Load()),
		Waiting:  t.slots.waiting(),
		Draining: t.draining.Load(),
	}
}

// health answers GET /health: 503 while t drains, otherwise 200, at once even
// when t is slow or overloaded.
func (t *Target) health(ctx *fasthttp.RequestCtx) {
	if t.draining.Load() {
		ctx.Error("draining", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok")
}

// loadReport caches a load, so that reports lag behind as those of real targets
// do.
type loadReport struct {
	mu      sync.Mutex
	isSet   bool
	takenAt clock.Milli
	load    Load
}

// read returns the cached load, replaced by fresh if it is at least lag old.
func (r *loadReport) read(now, lag clock.Milli, fresh Load) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isSet || now-r.takenAt >= lag {
		r.isSet = true
		r.takenAt = now
		r.load = fresh
	}
	return r.load
}
