package main

import (
	"fmt"
	"os"
	"sync"

	"siskinswitch.example/siskin/internal/demo"
)

// clearLine moves the cursor to the start of a terminal's line and clears the
// line.
const clearLine = "\r\x1b[K"

// printer reports the progress of a run. On a terminal it updates one line every
// second, otherwise it prints a line per phase.
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

// begin prints a description of the run.
func (p *printer) begin(cfg demo.Config) {
	for _, line := range demo.Describe(cfg.Deployments, cfg.Scale) {
		p.print("%s\n", line)
	}
	p.print("one deployment after the other, %d s of load under each of %d systems, seed %d\n",
		cfg.Length/1000, len(cfg.Systems), cfg.Seed)
}

// phase prints the beginning of a phase, unless the output is a terminal.
func (p *printer) phase(s demo.RunStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.live {
		return
	}
	p.print("%s under %s: %s begins\n", s.Deployment, s.System, s.Phase)
}

// second updates the progress line with the latest counts.
func (p *printer) second(s demo.RunStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := s.Progress.Counts
	p.print("%s%s under %s, %2d s, %s: %d of %d ended calls whole, %d open",
		clearLine, s.Deployment, s.System, s.Progress.Elapsed/1000, s.Phase, c.Succeeded, c.Offered, s.Progress.Open)
}

// end clears the progress line.
func (p *printer) end() {
	if p.live {
		p.print(clearLine)
	}
}

// print writes formatted text and ignores write errors.
func (p *printer) print(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format, args...)
}
