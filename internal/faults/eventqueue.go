package faults

import "siskinswitch.example/siskin/pkg/clock"

// event is an action of a process, or of none if proc is nil.
type event struct {
	proc *proc
	run  func()
}

// heapItem refers to an event by its slot in the queue. It holds no pointers, so
// that moving items in the heap costs no write barriers of the garbage
// collector.
type heapItem struct {
	at   clock.Milli
	seq  int
	slot int
}

func (d heapItem) isBefore(o heapItem) bool {
	if d.at != o.at {
		return d.at < o.at
	}
	return d.seq < o.seq
}

// eventQueue is a binary heap of events, ordered by time and then by insertion.
type eventQueue struct {
	heap  []heapItem
	slots []event
	free  []int
	seq   int
}

func (q *eventQueue) push(at clock.Milli, e event) {
	slot := len(q.slots)
	if n := len(q.free); n > 0 {
		slot = q.free[n-1]
		q.free = q.free[:n-1]
		q.slots[slot] = e
	} else {
		q.slots = append(q.slots, e)
	}
	q.seq++
	q.heap = append(q.heap, heapItem{
		at:   at,
		seq:  q.seq,
		slot: slot,
	})
	q.siftUp(len(q.heap) - 1)
}

// pop returns the earliest event and its time. The queue must not be empty.
func (q *eventQueue) pop() (clock.Milli, event) {
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	q.siftDown()
	e := q.slots[top.slot]
	q.slots[top.slot] = event{}
	q.free = append(q.free, top.slot)
	return top.at, e
}

func (q *eventQueue) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heap[i].isBefore(q.heap[parent]) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

func (q *eventQueue) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.heap[child+1].isBefore(q.heap[child]) {
			child++
		}
		if !q.heap[child].isBefore(q.heap[i]) {
			return
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}
