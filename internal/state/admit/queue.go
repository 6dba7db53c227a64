package admit

import "siskinswitch.example/siskin/internal/state/rules"

// rankBits is the number of leading bits of a root hash that order the queue.
// Requests that differ only in other bits have equal rank.
const rankBits = 5

// queue is the bounded queue of one lane. It is a plain slice in order of
// arrival, because the order of service changes with the overload of the gate.
type queue struct {
	requests []Request
	maxLen   int
}

// outranks reports whether a has a higher shedding rank than b.
func outranks(a, b *Request) bool {
	if a.Importance != b.Importance {
		return a.Importance > b.Importance
	}
	if (a.Depth > 0) != (b.Depth > 0) {
		return a.Depth > 0
	}
	return a.RootHash>>(64-rankBits) > b.RootHash>>(64-rankBits)
}

// servedBefore reports whether a is served before b. Under overload, requests
// of equal rank are served newest first, because the oldest are the least
// likely to meet their deadlines. Without overload only importance counts, and
// the oldest request is served first. Seq is the order of arrival.
func servedBefore(a, b *Request, overload bool) bool {
	if !overload {
		if a.Importance != b.Importance {
			return a.Importance > b.Importance
		}
		return a.Seq < b.Seq
	}
	if outranks(a, b) {
		return true
	}
	return !outranks(b, a) && a.Seq > b.Seq
}

// maxLenFor returns the length of the queue from which requests of an
// importance are no longer appended. The levels of importance are equally
// spaced, so that less important requests wait less and leave space for more
// important ones.
func (q *queue) maxLenFor(importance rules.Importance) int {
	return max(1, q.maxLen*(int(importance)+1)/int(rules.Vital+1))
}

func (q *queue) push(r Request) { q.requests = append(q.requests, r) }

// remove removes the request at index i and keeps the order of the others.
func (q *queue) remove(i int) Request {
	r := q.requests[i]
	q.requests = append(q.requests[:i], q.requests[i+1:]...)
	return r
}

// next returns the index of the request to be served next, -1 if the queue is
// empty.
func (q *queue) next(overload bool) int {
	best := -1
	for i := range q.requests {
		if best < 0 || servedBefore(&q.requests[i], &q.requests[best], overload) {
			best = i
		}
	}
	return best
}

// lowest returns the index of the request to be displaced next, -1 if the
// queue is empty.
func (q *queue) lowest() int {
	worst := -1
	for i := range q.requests {
		if worst < 0 || servedBefore(&q.requests[worst], &q.requests[i], true) {
			worst = i
		}
	}
	return worst
}

// countAhead returns the number of queued requests that would be served before
// r.
func (q *queue) countAhead(r *Request, overload bool) int {
	n := 0
	for i := range q.requests {
		if servedBefore(&q.requests[i], r, overload) {
			n++
		}
	}
	return n
}

// removeIf removes the requests for which match returns true and appends them
// to out.
func (q *queue) removeIf(out []Request, match func(*Request) bool) []Request {
	kept := q.requests[:0]
	for i := range q.requests {
		if match(&q.requests[i]) {
			out = append(out, q.requests[i])
			continue
		}
		kept = append(kept, q.requests[i])
	}
	q.requests = kept
	return out
}
