package watch

// Seen returns the revision of the newest change that was read, 0 if none.
func (f *Follower) Seen() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// Hear records that another daemon knows the change of a revision.
func (f *Follower) Hear(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= max(f.revision, f.heard) {
		return
	}
	if !f.isBehind() {
		f.heardAt = f.cfg.Clock.Now()
	}
	f.heard = revision
}

// Revision returns the revision of the store as of the last read, 0 before it.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// IsBehind reports whether another daemon knows a change that was not read here.
func (f *Follower) IsBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isBehind()
}

// isBehind reports whether another daemon knows a change that was not read here.
// f.mu must be held.
func (f *Follower) isBehind() bool { return f.heard > f.revision }

// recordRead records the revision of the store as of a read and the changes or
// items that it returned.
func (f *Follower) recordRead(revision int64, items []Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
	for _, item := range items {
		f.seen = max(f.seen, item.Revision)
	}
}
