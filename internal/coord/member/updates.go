package member

import "math"

// maxRepeats bounds how often a record is passed on.
const maxRepeats = 16

// MaxUpdates bounds the records that ride on one message.
const MaxUpdates = 16

// news holds the hosts whose records are to be passed on, by how often that
// was done, so that the freshest record always leaves first.
type news struct {
	levels [maxRepeats][]*host
	count  int
}

// put queues a record anew.
func (q *news) put(h *host, local bool) {
	q.drop(h)
	h.hot = true
	h.sent = 0
	h.level = 0
	h.local = local
	q.levels[0] = append(q.levels[0], h)
	q.count++
}

// drop takes a host out of the queue.
func (q *news) drop(h *host) {
	if !h.hot {
		return
	}
	q.levels[h.level] = remove(q.levels[h.level], h)
	h.hot = false
	q.count--
}

// heard counts a record that came from elsewhere as sent once more: the more
// others know it, the less it needs passing on.
func (q *news) heard(h *host) {
	if h.hot {
		h.sent++
	}
}

// take appends records that may leave for a near or far host, and counts them
// as sent; after that many repeats a record is done.
func (q *news) take(list []Record, near bool, repeats int) []Record {
	var moved []*host
	taken := 0
	for i := range q.levels {
		kept := q.levels[i][:0]
		for _, h := range q.levels[i] {
			switch {
			case h.sent > i:
				moved = append(moved, h)
			case taken < MaxUpdates && (near || !h.local):
				taken++
				list = append(list, h.rec)
				h.sent++
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
		q.move(h, repeats)
	}
	return list
}

// move puts a host that was taken from its level where it belongs now.
func (q *news) move(h *host, repeats int) {
	if h.sent >= repeats {
		h.hot = false
		q.count--
		return
	}
	h.level = h.sent
	q.levels[h.level] = append(q.levels[h.level], h)
}

// repeats is how often a record is passed on: a few times the logarithm of the
// fleet, so that chance leaves almost nobody out.
func (n *Node) repeats() int {
	return min(maxRepeats, 3*int(math.Ceil(math.Log10(float64(n.listed+1)))))
}
