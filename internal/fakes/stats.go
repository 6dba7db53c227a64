package fakes

import "sync"

// Run counts how often one request was run by a target.
type Run struct {
	Started   int
	Completed int
}

// Counts are the counters of a [Target].
type Counts struct {
	// Arrivals counts requests for work, refused ones included.
	Arrivals int64
	// Refused counts requests turned away before they ran.
	Refused int64
	// Completed counts requests run to their end.
	Completed int64
	// Failed counts requests whose deeper call failed.
	Failed int64
	// Cancelled counts requests given up after they started.
	Cancelled int64
	// Calls counts deeper calls, repeats included.
	Calls int64
	// Crossed counts deeper calls answered with another request's answer.
	Crossed int64
}

// ledger holds the counters of a target and its runs by operation and key.
type ledger struct {
	mu     sync.Mutex
	counts Counts
	runs   map[runKey]Run
}

type runKey struct {
	path string
	key  string
}

func (l *ledger) count(f func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *ledger) run(k runKey, f func(r *Run)) {
	if k.key == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[k]
	f(&r)
	l.runs[k] = r
}

// Counts returns the counters of t.
func (t *Target) Counts() Counts {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	return t.ledger.counts
}

// Runs returns how often t ran each request of a once-only operation, by the
// request's Idempotency-Key. Path is "service/operation".
func (t *Target) Runs(path string) map[string]Run {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	runs := make(map[string]Run)
	for k, r := range t.ledger.runs {
		if k.path == path {
			runs[k.key] = r
		}
	}
	return runs
}
