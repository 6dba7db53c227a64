package main

import (
	"fmt"
	"os"
	"sync"

	"siskinswitch.example/siskin/internal/demo"
)

// clearLine returns to the start of a terminal's line and clears it.
const clearLine = "\r\x1b[K"

// printer tells how a run goes on: on a terminal in one line that changes each
// second, else in one line for each phase.
type printer struct {
	out  *os.File
	live bool

	mu sync.Mutex
}

func newPrinter(out *os.File) *printer {
	info, err := out.Stat()
	return &printer{
		out:  out,
		live: err == nil && info.Mode()&os.ModeCharDevice != 0,
	}
}

// begin says what the run will do.
func (p *printer) begin(cfg demo.Config) {
	for _, line := range demo.Describe(cfg.Deployments, cfg.Scale) {
		p.print("%s\n", line)
	}
	p.print("one deployment after the other, %d s of load under each of %d systems, seed %d\n",
		cfg.Length/1000, len(cfg.Systems), cfg.Seed)
}

// phase tells that a phase has begun.
func (p *printer) phase(s demo.RunStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.live {
		return
	}
	p.print("%s under %s: %s begins\n", s.Deployment, s.System, s.Phase)
}

// second shows the newest counts.
func (p *printer) second(s demo.RunStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := s.Progress.Counts
	p.print("%s%s under %s, %2d s, %s: %d of %d ended calls whole, %d open",
		clearLine, s.Deployment, s.System, s.Progress.Elapsed/1000, s.Phase, c.Succeeded, c.Offered, s.Progress.Open)
}

// end leaves the line free.
func (p *printer) end() {
	if p.live {
		p.print(clearLine)
	}
}

// print writes text; what a terminal does not take is lost.
func (p *printer) print(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format, args...)
}
