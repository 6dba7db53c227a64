package daemon

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/pkg/clock"
)

func (d *Daemon) serveTrail(ctx *fasthttp.RequestCtx) {
	entries := d.trail.Find(string(ctx.QueryArgs().Peek(admin.ArgID)))
	entries = entries[max(0, len(entries)-admin.MaxLogEntries):]
	writeJSON(ctx, admin.RequestLog{
		Head:          d.head(),
		CompleteSince: d.trail.CompleteSince(),
		Entries:       entries,
	})
}

func (d *Daemon) serveRecord(ctx *fasthttp.RequestCtx) {
	now := d.clock.Now()
	r := admin.ConfigHistory{
		Head:    d.head(),
		Started: d.wall(now, d.start),
		Periods: make([]admin.ConfigPeriod, 0),
	}
	if s := d.control.snapshot.Load(); s != nil {
		for _, span := range s.History {
			r.Periods = append(r.Periods, d.span(now, span))
		}
	}
	writeJSON(ctx, r)
}

func (d *Daemon) span(now clock.Milli, s spread.Period) admin.ConfigPeriod {
	span := admin.ConfigPeriod{
		Version: s.Version,
		Digest:  s.Digest,
		Author:  s.Author,
		Reason:  s.Reason,
		From:    s.From,
		Start:   d.wall(now, s.Start),
	}
	if s.End != spread.Never {
		span.End = d.wall(now, s.End)
	}
	return span
}

// wall converts an instant of the daemon's monotonic clock to its wall clock.
func (d *Daemon) wall(now, at clock.Milli) clock.Milli { return d.clock.Wall() - (now - at) }

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
			Sums:       deskCounts(d.burn.Sums(now, key)),
		}
		if buckets {
			row.Buckets = deskCounts(d.burn.Buckets(now, key))
		}
		b.Rows = append(b.Rows, row)
	}
	writeJSON(ctx, b)
}

func deskCounts(counts []burn.Count) []admin.Count {
	list := make([]admin.Count, 0, len(counts))
	for _, c := range counts {
		list = append(list, admin.Count{
			Good: c.Good,
			Bad:  c.Bad,
		})
	}
	return list
}
