package daemon

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/pkg/clock"
)

// serveRequestLog answers with the newest logged requests, or with those that have the
// id in the query.
func (d *Daemon) serveRequestLog(ctx *fasthttp.RequestCtx) {
	entries := d.requestLog.Find(string(ctx.QueryArgs().Peek(admin.ArgID)))
	entries = entries[max(0, len(entries)-admin.MaxLogEntries):]
	writeJSON(ctx, admin.RequestLog{
		Head:          d.head(),
		CompleteSince: d.requestLog.CompleteSince(),
		Entries:       entries,
	})
}

// serveRecord answers with the history of configurations that were in force.
func (d *Daemon) serveRecord(ctx *fasthttp.RequestCtx) {
	now := d.clock.Now()
	r := admin.ConfigHistory{
		Head:    d.head(),
		Started: d.toWall(now, d.start),
		Periods: make([]admin.ConfigPeriod, 0),
	}
	if s := d.control.snapshot.Load(); s != nil {
		for _, span := range s.History {
			r.Periods = append(r.Periods, d.configPeriod(now, span))
		}
	}
	writeJSON(ctx, r)
}

func (d *Daemon) configPeriod(now clock.Milli, s spread.Period) admin.ConfigPeriod {
	period := admin.ConfigPeriod{
		Version: s.Version,
		Digest:  s.Digest,
		Author:  s.Author,
		Reason:  s.Reason,
		From:    s.From,
		Start:   d.toWall(now, s.Start),
	}
	if s.End != spread.Never {
		period.End = d.toWall(now, s.End)
	}
	return period
}

// toWall converts the instant at of the daemon's monotonic clock to its wall
// clock; now is the current instant of the monotonic clock.
func (d *Daemon) toWall(now, at clock.Milli) clock.Milli { return d.clock.Wall() - (now - at) }

// serveBurn answers with the calls that met and missed the objectives of their
// services, as sums over the burn windows and, if asked for, as buckets.
func (d *Daemon) serveBurn(ctx *fasthttp.RequestCtx) {
	now := d.clock.Now()
	b := admin.Burn{
		Head:       d.head(),
		Age:        d.burn.Age(now),
		Windows:    burn.Windows(),
		Width:      burn.CoarseWidth,
		Objectives: make([]admin.Objective, 0),
		Rows:       make([]admin.Row, 0),
	}
	if set := d.view.Load().Rules; set != nil {
		for _, o := range set.Objectives() {
			b.Objectives = append(b.Objectives, admin.Objective{
				Service: o.Service,
				Good:    o.Good,
				Latency: o.Latency,
			})
		}
	}
	buckets := ctx.QueryArgs().Has(admin.ArgBuckets)
	for _, key := range d.burn.Keys() {
		row := admin.Row{
			Service:    key.Service,
			Importance: key.Importance,
			Caller:     key.Caller,
			Sums:       adminCounts(d.burn.Sums(now, key)),
		}
		if buckets {
			row.Buckets = adminCounts(d.burn.Buckets(now, key))
		}
		b.Rows = append(b.Rows, row)
	}
	writeJSON(ctx, b)
}

func adminCounts(counts []burn.Count) []admin.Count {
	list := make([]admin.Count, 0, len(counts))
	for _, c := range counts {
		list = append(list, admin.Count{
			Good: c.Good,
			Bad:  c.Bad,
		})
	}
	return list
}
