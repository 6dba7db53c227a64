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
	stopTick        = 300 * clock.Millisecond
	stopGrace       = 15 * clock.Second
	successorCopies = 2
	partBytes       = 300
	maxBootDelay    = 3 * clock.Second
)

// stopping is the state of a planned stop.
type stopping struct {
	until clock.Milli
	// unacknowledged holds, for each successor, the handover parts that it has
	// not acknowledged. It is nil until the table is exported.
	unacknowledged map[*daemon]map[int]guard.Handover
}

// stop begins a planned stop: the daemon starts no new requests, finishes those
// in flight, and then hands its table over to its successors.
func (d *daemon) stop() {
	if d.proc.dead || d.stopping != nil {
		return
	}
	d.w.report.Faults.Stops++
	d.stopping = &stopping{until: d.w.now + stopGrace}
	if d.w.defect != OpenHandover {
		d.table.Close()
	}
	d.continueStop()
}

// continueStop advances a planned stop at each tick: it exports the table when
// no request is in flight or the grace period is over, and sends the parts until
// all are acknowledged.
func (d *daemon) continueStop() {
	w, s := d.w, d.stopping
	isOver := w.now >= s.until
	if d.table.Stats().Live == 0 && s.unacknowledged == nil || isOver && s.unacknowledged == nil {
		d.exportTable()
	}
	if s.unacknowledged != nil {
		if d.isHandedOver() {
			w.report.Handovers++
			d.exit()
			return
		}
		d.sendParts()
	}
	if isOver {
		w.after(usualDelay, d.proc, d.exit)
		return
	}
	w.after(stopTick, d.proc, d.continueStop)
}

// exportTable chooses the successors and the handover parts for each of them.
// The parts include what the daemon itself received from stopped daemons.
func (d *daemon) exportTable() {
	w := d.w
	for id := range d.waiters {
		w.checker.interrupted(id)
	}
	parts, err := d.table.Export(w.now, partBytes)
	if err != nil || w.defect == EmptyHandover {
		parts = []guard.Handover{{
			Incarnation: d.incarnation,
			ExportSeq:   1,
			Parts:       1,
			Window:      window,
		}}
	}
	if w.defect == PartialHandover {
		parts = parts[:1]
		parts[0].Parts = 1
	}
	parts = append(parts, d.handoverStore.Export(w.now)...)
	d.stopping.unacknowledged = make(map[*daemon]map[int]guard.Handover)
	for _, h := range w.successors(d.host, d.incarnation) {
		successor := h.daemon
		if successor.proc.dead || successor.stopping != nil || len(d.stopping.unacknowledged) == successorCopies {
			continue
		}
		unacknowledged := make(map[int]guard.Handover, len(parts))
		for i, part := range parts {
			unacknowledged[i] = part
		}
		d.stopping.unacknowledged[successor] = unacknowledged
	}
}

func (d *daemon) sendParts() {
	w := d.w
	for _, h := range w.hosts {
		successor := h.daemon
		for _, i := range sortedKeys(d.stopping.unacknowledged[successor]) {
			part := d.stopping.unacknowledged[successor][i]
			w.send(d.host.side, h.side, func() {
				w.after(0, successor.proc, func() { successor.importPart(part, d, i) })
			})
		}
	}
}

// importPart adds a part to the handover store and acknowledges it. A part that
// the store rejects stays unacknowledged.
func (d *daemon) importPart(part guard.Handover, from *daemon, i int) {
	w := d.w
	if err := d.handoverStore.Import(w.now, part); err != nil {
		w.report.RejectedParts++
		return
	}
	w.send(d.host.side, from.host.side, func() {
		w.after(0, from.proc, func() { delete(from.stopping.unacknowledged[d], i) })
	})
}

func (d *daemon) isHandedOver() bool {
	for successor, parts := range d.stopping.unacknowledged {
		if len(parts) > 0 && !successor.proc.dead {
			return false
		}
	}
	return true
}

// exit ends the process. The next process of the host boots a little later.
func (d *daemon) exit() {
	d.proc.dead = true
	w := d.w
	w.after(w.between(1, maxBootDelay), nil, func() { w.boot(d.host) })
}

// successors returns the other hosts in the order in which they are asked for
// the table of an incarnation of h. The order is that of rendezvous hashing, so
// that every daemon computes the same one.
func (w *world) successors(h *host, incarnation uint64) []*host {
	var others []*host
	for _, other := range w.hosts {
		if other != h {
			others = append(others, other)
		}
	}
	slices.SortFunc(others, func(a, b *host) int {
		return cmp.Compare(rank(b, incarnation), rank(a, incarnation))
	})
	return others
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
