package member

import "math"

// maxTransmits is the largest number of times that a record is passed on.
const maxTransmits = 16

// MaxUpdates is the largest number of records piggybacked on one message.
const MaxUpdates = 16

// updateQueue holds the hosts whose records are waiting to be passed on,
// grouped by the number of transmissions so far. Records with the fewest are
// sent first.
type updateQueue struct {
	levels [maxTransmits][]*host
	count  int
}

// put adds a host with no transmissions counted. If it is queued already, its
// count starts again.
func (q *updateQueue) put(h *host, local bool) {
	q.drop(h)
	h.queued = true
	h.transmits = 0
	h.level = 0
	h.local = local
	q.levels[0] = append(q.levels[0], h)
	q.count++
}

// drop removes a host from the queue.
func (q *updateQueue) drop(h *host) {
	if !h.queued {
		return
	}
	q.levels[h.level] = remove(q.levels[h.level], h)
	h.queued = false
	q.count--
}

// countDuplicate counts a queued record that arrived from another member as
// one transmission: a record that others know already has to be passed on less
// often.
func (q *updateQueue) countDuplicate(h *host) {
	if h.queued {
		h.transmits++
	}
}

// take appends up to MaxUpdates records to list and counts their
// transmissions; a record that reached limit leaves the queue. Records that
// concern only the node's data centre are taken only if near is set, for a
// receiver within it.
func (q *updateQueue) take(list []Record, near bool, limit int) []Record {
	var moved []*host
	taken := 0
	for i := range q.levels {
		kept := q.levels[i][:0]
		for _, h := range q.levels[i] {
			switch {
			case h.transmits > i:
				moved = append(moved, h)
			case taken < MaxUpdates && (near || !h.local):
				taken++
				list = append(list, h.rec)
				h.transmits++
				moved = append(moved, h)
			default:
				kept = append(kept, h)
			}
		}
		q.levels[i] = kept
		if taken == MaxUpdates {
			break
		}
	}
	for _, h := range moved {
		q.requeue(h, limit)
	}
	return list
}

// requeue moves a host, already removed from its level, to the level of its
// transmission count, or out of the queue once that reached limit.
func (q *updateQueue) requeue(h *host, limit int) {
	if h.transmits >= limit {
		h.queued = false
		q.count--
		return
	}
	h.level = h.transmits
	q.levels[h.level] = append(q.levels[h.level], h)
}

// transmitLimit returns how often a record is passed on: a multiple of the
// logarithm of the fleet size, with which random gossip reaches almost every
// member.
func (n *Node) transmitLimit() int {
	return min(maxTransmits, 3*int(math.Ceil(math.Log10(float64(n.listed+1)))))
}
