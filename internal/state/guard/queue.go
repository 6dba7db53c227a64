package guard

// queue is a FIFO queue of request ids in a ring buffer that grows when it is
// full.
type queue struct {
	ring []string
	head int
	n    int
}

const minRingSize = 64

func (q *queue) len() int { return q.n }

func (q *queue) push(id string) {
	if q.n == len(q.ring) {
		q.grow()
	}
	q.ring[(q.head+q.n)%len(q.ring)] = id
	q.n++
}

func (q *queue) peek() string { return q.ring[q.head] }

func (q *queue) pop() string {
	id := q.ring[q.head]
	q.ring[q.head] = ""
	q.head = (q.head + 1) % len(q.ring)
	q.n--
	return id
}

func (q *queue) grow() {
	ring := make([]string, max(minRingSize, 2*len(q.ring)))
	for i := range q.n {
		ring[i] = q.ring[(q.head+i)%len(q.ring)]
	}
	q.ring = ring
	q.head = 0
}
