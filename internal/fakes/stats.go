package fakes

import "sync"

// Run counts how often a target started and completed the same request.
type Run struct {
	Started   int
	Completed int
}

// Counts are the counters of a [Target].
type Counts struct {
	// Arrivals counts requests for operations, refused ones included.
	Arrivals int64
	// Refused counts requests that were refused before they ran.
	Refused int64
	// Completed counts requests that ran to their end.
	Completed int64
	// Failed counts requests that failed because a downstream call did.
	Failed int64
	// Cancelled counts requests that were cancelled while they ran.
	Cancelled int64
	// Calls counts downstream calls, retries included.
	Calls int64
	// Crossed counts downstream calls that got an answer to another request.
	Crossed int64
}

// stats holds the counters of a target and its runs by operation and
// Idempotency-Key.
type stats struct {
	mu     sync.Mutex
	counts Counts
	runs   map[runKey]Run
}

type runKey struct {
	path string
	key  string
}

func (l *stats) count(f func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *stats) run(k runKey, f func(r *Run)) {
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
	t.stats.mu.Lock()
	defer t.stats.mu.Unlock()
	return t.stats.counts
}

// Runs returns the runs of a non-idempotent operation, by the Idempotency-Key of
// the request. Path is "service/operation". Requests without a key are not
// counted.
func (t *Target) Runs(path string) map[string]Run {
	t.stats.mu.Lock()
	defer t.stats.mu.Unlock()
	runs := make(map[string]Run)
	for k, r := range t.stats.runs {
		if k.path == path {
			runs[k.key] = r
		}
	}
	return runs
}
