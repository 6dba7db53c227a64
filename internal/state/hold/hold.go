// Package hold bounds the memory that a daemon uses for messages in progress.
//
// A [Pool] has a fixed number of bytes. Each message in progress has a [Hold],
// which grows as its bytes arrive. A hold may grow only while it has no more
// bytes than the pool has left. So one message never takes more than half of
// the pool, and any number of large messages leaves room for small ones.
//
// A hold that may not grow is not an error of the pool: the owner gives the
// message up and releases what it has.
package hold

import (
	"context"
	"sync"
)

// Pool is the memory for messages in progress. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	limit int
	used  int
	// refused counts the calls of Grow that returned false.
	refused uint64
}

// NewPool returns a pool of limit bytes.
func NewPool(limit int) *Pool {
	return &Pool{
		limit: limit,
	}
}

// Stats is the state of a pool.
type Stats struct {
	// Used and Limit are in bytes.
	Used  int
	Limit int
	// Refused counts the refusals since the start.
	Refused uint64
}

// Stats returns the state of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Used:    p.used,
		Limit:   p.limit,
		Refused: p.refused,
	}
}

// Hold is what one message, or several that end together, take of a pool. A nil
// Hold has no bound. It is safe for concurrent use.
type Hold struct {
	pool *Pool
	// bytes is guarded by the pool's mutex.
	bytes int
}

// Open returns an empty hold on the pool. That of a nil pool has no bound.
func (p *Pool) Open() *Hold {
	if p == nil {
		return nil
	}
	return &Hold{
		pool: p,
	}
}

// Grow takes n more bytes and reports whether it could. It takes all of them or
// none.
func (h *Hold) Grow(n int) bool {
	if h == nil {
		return true
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.bytes+n > p.limit-p.used {
		p.refused++
		return false
	}
	h.bytes += n
	p.used += n
	return true
}

// Shrink returns n bytes, or all if the hold has less.
func (h *Hold) Shrink(n int) {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	h.pool.used -= n
}

// Release returns all bytes.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.pool.used -= h.bytes
	h.bytes = 0
}

type contextKey struct{}

// With returns a context that carries h, for the messages that are received on
// behalf of one request.
func With(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// From returns the hold of a context, nil if it has none.
func From(ctx context.Context) *Hold {
	h, _ := ctx.Value(contextKey{}).(*Hold)
	return h
}
