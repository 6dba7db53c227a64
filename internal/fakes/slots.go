package fakes

import (
	"slices"
	"sync"
)

// slots is a counting semaphore with a bounded FIFO queue, which a waiter can
// leave.
type slots struct {
	mu    sync.Mutex
	free  int
	queue int
	wait  []chan struct{}
}

// enter acquires a slot or joins the queue. The returned channel is closed once
// the caller holds a slot; ok is false if the queue is full.
func (s *slots) enter() (held chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held = make(chan struct{})
	if s.free > 0 {
		s.free--
		close(held)
		return held, true
	}
	if len(s.wait) >= s.queue {
		return nil, false
	}
	s.wait = append(s.wait, held)
	return held, true
}

// leave releases the slot, or leaves the queue, of the channel that enter
// returned.
func (s *slots) leave(held chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.wait, held); i >= 0 {
		s.wait = slices.Delete(s.wait, i, i+1)
		return
	}
	if len(s.wait) == 0 {
		s.free++
		return
	}
	close(s.wait[0])
	s.wait = s.wait[1:]
}

// waiting returns the length of the queue.
func (s *slots) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.wait)
}
