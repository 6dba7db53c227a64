package ctl

// progress shows on a terminal how far the reading of a file has come.
type progress struct {
	env          Env
	file         string
	total        int64
	shownPercent int64
}

// update is told the place in the file up to which it was read, in bytes.
func (p *progress) update(offset int64) {
	percent := offset * 100 / max(p.total, 1)
	if !p.env.ErrTerm || percent == p.shownPercent {
		return
	}
	p.shownPercent = percent
	p.env.messagef("\rreading %s: %d %%", p.file, percent)
}

// end ends the line, if there is one.
func (p *progress) end() {
	if p.shownPercent > 0 {
		p.env.messagef("\n")
	}
}
