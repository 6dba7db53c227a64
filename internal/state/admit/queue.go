package admit

import "siskinswitch.example/siskin/internal/state/rules"

// orderBits is the number of leading bits of a root hash that order the
// queue. Works that agree in them are of equal rank.
const orderBits = 5

// waits is the bounded queue of one lane. It is a plain slice in order of
// arrival; the order of service depends on whether the gate is overloaded.
type waits struct {
	works []Request
	limit int
}

// outranks reports whether a is served before b under overload.
func outranks(a, b *Request) bool {
	if a.Importance != b.Importance {
		return a.Importance > b.Importance
	}
	if (a.Depth > 0) != (b.Depth > 0) {
		return a.Depth > 0
	}
	return a.RootHash>>(64-orderBits) > b.RootHash>>(64-orderBits)
}

// before reports whether a is served before b. Works arrive in order of Seq:
// equal rank is served newest first under overload, because the oldest are
// the least likely to be of use. Without overload only importance counts,
// and the oldest goes first.
func before(a, b *Request, overload bool) bool {
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

// bound returns the length up to which work of an importance may fill the
// queue: an equal part for each importance, so that the less important wait
// less, and room is left for the more important.
func (q *waits) bound(importance rules.Importance) int {
	return max(1, q.limit*(int(importance)+1)/int(rules.Vital+1))
}

func (q *waits) push(w Request) { q.works = append(q.works, w) }

// remove takes the work at index i out and keeps the others in order.
func (q *waits) remove(i int) Request {
	w := q.works[i]
	q.works = append(q.works[:i], q.works[i+1:]...)
	return w
}

// first returns the index of the work to be served next, -1 if there is none.
func (q *waits) first(overload bool) int {
	best := -1
	for i := range q.works {
		if best < 0 || before(&q.works[i], &q.works[best], overload) {
			best = i
		}
	}
	return best
}

// last returns the index of the work to be evicted next, -1 if there is none.
func (q *waits) last() int {
	worst := -1
	for i := range q.works {
		if worst < 0 || before(&q.works[worst], &q.works[i], true) {
			worst = i
		}
	}
	return worst
}

// ahead counts the works that are served before w.
func (q *waits) ahead(w *Request, overload bool) int {
	n := 0
	for i := range q.works {
		if before(&q.works[i], w, overload) {
			n++
		}
	}
	return n
}

// take removes the works that drop accepts and appends them to out.
func (q *waits) take(out []Request, drop func(*Request) bool) []Request {
	kept := q.works[:0]
	for i := range q.works {
		if drop(&q.works[i]) {
			out = append(out, q.works[i])
			continue
		}
		kept = append(kept, q.works[i])
	}
	q.works = kept
	return out
}
