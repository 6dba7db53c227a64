package faults

import (
	"cmp"
	"hash/fnv"
	"slices"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times and sizes of a planned stop.
const (
	stopTick    = 300 * clock.Millisecond
	stopGrace   = 15 * clock.Second
	heirCopies  = 2
	partBytes   = 300
	bootLongest = 3 * clock.Second
)

// stopping is the state of a planned stop.
type stopping struct {
	until clock.Milli
	// unsent lists, for each heir, the parts that it has not acknowledged.
	unsent map[*daemon]map[int]guard.Handover
}

// stop begins a planned stop: nothing new is started, work in progress goes
// on, and the table is handed over once that has ended.
func (d *daemon) stop() {
	if d.proc.dead || d.stopping != nil {
		return
	}
	d.w.report.Faults.Stops++
	d.stopping = &stopping{until: d.w.now + stopGrace}
	if d.w.plant != OpenHandover {
		d.table.Close()
	}
	d.stopOn()
}

// stopOn goes on with a planned stop at each tick.
func (d *daemon) stopOn() {
	w, s := d.w, d.stopping
	isOver := w.now >= s.until
	if d.table.Stats().Live == 0 && s.unsent == nil || isOver && s.unsent == nil {
		d.export()
	}
	if s.unsent != nil {
		if d.isHandedOver() {
			w.report.Handovers++
			d.exit()
			return
		}
		d.sendParts()
	}
	if isOver {
		w.after(usual, d.proc, d.exit)
		return
	}
	w.after(stopTick, d.proc, d.stopOn)
}

// export chooses the heirs and makes the parts that each of them must get.
func (d *daemon) export() {
	w := d.w
	for id := range d.waiting {
		w.check.wasCut(id)
	}
	parts, err := d.table.Export(w.now, partBytes)
	if err != nil || w.plant == EmptyHandover {
		parts = []guard.Handover{{
			Incarnation: d.incarnation,
			ExportSeq:   1,
			Parts:       1,
			Window:      window,
		}}
	}
	if w.plant == PartialHandover {
		parts = parts[:1]
		parts[0].Parts = 1
	}
	parts = append(parts, d.shelf.Export(w.now)...)
	d.stopping.unsent = make(map[*daemon]map[int]guard.Handover)
	for _, h := range w.heirs(d.host, d.incarnation) {
		heir := h.daemon
		if heir.proc.dead || heir.stopping != nil || len(d.stopping.unsent) == heirCopies {
			continue
		}
		all := make(map[int]guard.Handover, len(parts))
		for i, part := range parts {
			all[i] = part
		}
		d.stopping.unsent[heir] = all
	}
}

func (d *daemon) sendParts() {
	w := d.w
	for _, h := range w.hosts {
		heir := h.daemon
		for _, i := range sortedKeys(d.stopping.unsent[heir]) {
			part := d.stopping.unsent[heir][i]
			w.send(d.host.side, h.side, func() {
				w.after(0, heir.proc, func() { heir.inherit(part, d, i) })
			})
		}
	}
}

// inherit takes a part on the shelf and acknowledges it.
func (d *daemon) inherit(part guard.Handover, from *daemon, i int) {
	w := d.w
	if err := d.shelf.Import(w.now, part); err != nil {
		w.report.RejectedParts++
		return
	}
	w.send(d.host.side, from.host.side, func() {
		w.after(0, from.proc, func() { delete(from.stopping.unsent[d], i) })
	})
}

func (d *daemon) isHandedOver() bool {
	for heir, parts := range d.stopping.unsent {
		if len(parts) > 0 && !heir.proc.dead {
			return false
		}
	}
	return true
}

// exit ends the process; its successor boots a little later.
func (d *daemon) exit() {
	d.proc.dead = true
	w := d.w
	w.after(w.between(1, bootLongest), nil, func() { w.boot(d.host) })
}

// heirs returns the other hosts in the order in which they are asked for the
// table of an incarnation of h. Every daemon works out the same order.
func (w *world) heirs(h *host, incarnation uint64) []*host {
	var list []*host
	for _, other := range w.hosts {
		if other != h {
			list = append(list, other)
		}
	}
	slices.SortFunc(list, func(a, b *host) int {
		return cmp.Compare(rank(b, incarnation), rank(a, incarnation))
	})
	return list
}

func rank(h *host, incarnation uint64) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte{byte(incarnation), byte(incarnation >> 8)})
	_, _ = f.Write([]byte(h.name))
	return f.Sum64()
}

func sortedKeys(m map[int]guard.Handover) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
