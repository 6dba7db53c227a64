package ctl

// progress shows on a terminal how much of a file has been read.
type progress struct {
	env          Env
	file         string
	total        int64
	shownPercent int64
}

// update shows the progress after offset bytes were read. It writes only if
// the percentage has changed.
func (p *progress) update(offset int64) {
	percent := offset * 100 / max(p.total, 1)
	if !p.env.ErrTerm || percent == p.shownPercent {
		return
	}
	p.shownPercent = percent
	p.env.messagef("\rreading %s: %d %%", p.file, percent)
}

// end ends the progress line if one was written.
func (p *progress) end() {
	if p.shownPercent > 0 {
		p.env.messagef("\n")
	}
}
