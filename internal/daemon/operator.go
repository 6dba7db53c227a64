package daemon

import (
	"encoding/json"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"

	"siskinswitch.example/siskin/internal/proto/admin"
)

const (
	// maxOperatorCalls bounds the concurrent requests on the operator port, so that
	// they cannot starve the host's traffic.
	maxOperatorCalls = 8
	jsonType         = "application/json"
)

// operator returns the read-only handler of the operator port. No report waits
// for requests in progress: the handlers read published snapshots, and hold locks
// of counters only while they copy them.
func (d *Daemon) operator() fasthttp.RequestHandler {
	r := router.New()
	r.GET(admin.PathMetrics, fasthttpadaptor.NewFastHTTPHandler(d.metrics.handler))
	r.GET(admin.PathReady, d.serveReady)
	r.GET(admin.PathDocument, d.serveDocument)
	r.GET(admin.PathStatus, d.serveStatus)
	r.GET(admin.PathTrail, d.serveRequestLog)
	r.GET(admin.PathRecord, d.serveRecord)
	r.GET(admin.PathBurn, d.serveBurn)
	if d.settings.Profile {
		r.GET(admin.PathProfile+"/{name:*}", pprofhandler.PprofHandler)
	}
	return limited(maxOperatorCalls, r.Handler)
}

// limited passes at most n requests at once to the handler, and answers 503 to
// the others.
func limited(n int, handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	slots := make(chan struct{}, n)
	return func(ctx *fasthttp.RequestCtx) {
		select {
		case slots <- struct{}{}:
		default:
			ctx.Error("too many requests of operators at once\n", fasthttp.StatusServiceUnavailable)
			return
		}
		defer func() { <-slots }()
		handler(ctx)
	}
}

// serveReady answers 200 if the daemon is ready to serve traffic, otherwise 503.
func (d *Daemon) serveReady(ctx *fasthttp.RequestCtx) {
	if !d.view.Load().Ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serveDocument answers with the bytes of the configuration in force, or with 503
// if there is none.
func (d *Daemon) serveDocument(ctx *fasthttp.RequestCtx) {
	s := d.control.snapshot.Load()
	if s == nil || s.Value.Version == 0 {
		ctx.Error("no configuration is in force yet\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(s.Value.Bytes)
}

// head returns the fields that every report starts with.
func (d *Daemon) head() admin.Head {
	return admin.Head{
		Format: admin.Format,
		Name:   d.settings.Name,
		Time:   d.clock.Wall(),
	}
}

// writeJSON answers with a report in JSON. It answers 507 if the report exceeds
// [admin.MaxAnswer].
func writeJSON(ctx *fasthttp.RequestCtx, report any) {
	data, err := json.Marshal(report)
	if err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusInternalServerError)
		return
	}
	if len(data) > admin.MaxAnswer {
		ctx.Error("the report is too large\n", fasthttp.StatusInsufficientStorage)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(data)
}
