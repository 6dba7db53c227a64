package daemon

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/internal/proto/desk"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/pkg/clock"
)

func (d *Daemon) serveTrail(ctx *fasthttp.RequestCtx) {
	entries := d.trail.Find(string(ctx.QueryArgs().Peek(desk.ArgID)))
	entries = entries[max(0, len(entries)-desk.MaxLogEntries):]
	writeJSON(ctx, desk.RequestLog{
		Head:          d.head(),
		CompleteSince: d.trail.CompleteSince(),
		Entries:       entries,
	})
}

func (d *Daemon) serveRecord(ctx *fasthttp.RequestCtx) {
	now := d.clock.Now()
	r := desk.ConfigHistory{
		Head:    d.head(),
		Started: d.wall(now, d.start),
		Periods: make([]desk.ConfigPeriod, 0),
	}
	if s := d.control.snapshot.Load(); s != nil {
		for _, span := range s.History {
			r.Periods = append(r.Periods, d.span(now, span))
		}
	}
	writeJSON(ctx, r)
}

func (d *Daemon) span(now clock.Milli, s spread.Span) desk.ConfigPeriod {
	span := desk.ConfigPeriod{
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
	b := desk.Burn{
		Head:       d.head(),
		Age:        d.burn.Age(now),
		Windows:    burn.Windows(),
		Width:      burn.CoarseWidth,
		Objectives: make([]desk.Objective, 0),
		Rows:       make([]desk.Row, 0),
	}
	if set := d.view.Load().Rules; set != nil {
		for _, o := range set.Objectives() {
			b.Objectives = append(b.Objectives, desk.Objective{
				Service: o.Service,
				Good:    o.Good,
				Latency: o.Latency,
			})
		}
	}
	buckets := ctx.QueryArgs().Has(desk.ArgBuckets)
	for _, key := range d.burn.Keys() {
		row := desk.Row{
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

func deskCounts(counts []burn.Count) []desk.Count {
	list := make([]desk.Count, 0, len(counts))
	for _, c := range counts {
		list = append(list, desk.Count{
			Good: c.Good,
			Bad:  c.Bad,
		})
	}
	return list
}
