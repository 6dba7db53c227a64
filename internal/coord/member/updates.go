package member

import "math"

// maxTransmits bounds how often a record is passed on.
const maxTransmits = 16

// MaxUpdates bounds the records that ride on one message.
const MaxUpdates = 16

// updateQueue holds the hosts whose records are to be passed on, by how often that
// was done, so that the freshest record always leaves first.
type updateQueue struct {
	levels [maxTransmits][]*host
	count  int
}

// put queues a record anew.
func (q *updateQueue) put(h *host, local bool) {
	q.drop(h)
	h.queued = true
	h.transmits = 0
	h.level = 0
	h.local = local
	q.levels[0] = append(q.levels[0], h)
	q.count++
}

// drop takes a host out of the queue.
func (q *updateQueue) drop(h *host) {
	if !h.queued {
		return
	}
	q.levels[h.level] = remove(q.levels[h.level], h)
	h.queued = false
	q.count--
}

// countDuplicate counts a record that came from elsewhere as sent once more: the more
// others know it, the less it needs passing on.
func (q *updateQueue) countDuplicate(h *host) {
	if h.queued {
		h.transmits++
	}
}

// take appends records that may leave for a near or far host, and counts them
// as sent; after that many repeats a record is done.
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

// requeue puts a host that was taken from its level where it belongs now.
func (q *updateQueue) requeue(h *host, limit int) {
	if h.transmits >= limit {
		h.queued = false
		q.count--
		return
	}
	h.level = h.transmits
	q.levels[h.level] = append(q.levels[h.level], h)
}

// transmitLimit is how often a record is passed on: a few times the logarithm of the
// fleet, so that chance leaves almost nobody out.
func (n *Node) transmitLimit() int {
	return min(maxTransmits, 3*int(math.Ceil(math.Log10(float64(n.listed+1)))))
}
