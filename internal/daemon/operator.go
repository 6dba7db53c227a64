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
	// maxOperatorCalls bounds the operators' requests that are served at once, so
	// that curious operators cannot take the host from its traffic.
	maxOperatorCalls = 8
	jsonType         = "application/json"
)

// operator returns the read-only handler of the operator address. Nothing
// behind it waits for traffic: it reads published snapshots and takes the
// locks of counters for the time of a copy.
func (d *Daemon) operator() fasthttp.RequestHandler {
	r := router.New()
	r.GET(admin.PathMetrics, fasthttpadaptor.NewFastHTTPHandler(d.metrics.handler))
	r.GET(admin.PathReady, d.serveReady)
	r.GET(admin.PathDocument, d.serveDocument)
	r.GET(admin.PathStatus, d.serveStatus)
	r.GET(admin.PathTrail, d.serveTrail)
	r.GET(admin.PathRecord, d.serveRecord)
	r.GET(admin.PathBurn, d.serveBurn)
	if d.set.Profile {
		r.GET(admin.PathProfile+"/{name:*}", pprofhandler.PprofHandler)
	}
	return limited(maxOperatorCalls, r.Handler)
}

// limited answers 503 instead of serving more than n requests at once.
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

// serveReady answers 200 once the daemon serves traffic, else 503.
func (d *Daemon) serveReady(ctx *fasthttp.RequestCtx) {
	if !d.view.Load().Ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serveDocument answers with the bytes of the configuration in force.
func (d *Daemon) serveDocument(ctx *fasthttp.RequestCtx) {
	s := d.control.snapshot.Load()
	if s == nil || s.Value.Version == 0 {
		ctx.Error("no configuration is in force yet\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(s.Value.Bytes)
}

func (d *Daemon) head() admin.Head {
	return admin.Head{
		Format: admin.Format,
		Name:   d.set.Name,
		Time:   d.clock.Wall(),
	}
}

// writeJSON answers with a report.
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
