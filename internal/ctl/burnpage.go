package ctl

import (
	"bytes"
	_ "embed" // embeds the template of the page
	"fmt"
	"html/template"
	"strings"
	"time"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/pkg/clock"
)

//go:embed burn.html
var burnTemplate string

// Size of a plot, in pixels.
const (
	plotWidth  = 860
	plotHeight = 160
	// minTopRate is the lowest burn rate that the top of a plot stands for.
	minTopRate = 20.0
)

// plot is a bar chart of the burn rate of one service over time.
type plot struct {
	Title  string
	Width  int
	Height int
	// Bars holds a bar for each bucket with at least one request.
	Bars []plotBar
	// Lines marks the burn rates of the alerts and the rate of 1.
	Lines   []plotLine
	TopRate string
	Start   string
}

type plotBar struct {
	X, Y, W, H float64
	Class      string
	Tooltip    string
}

type plotLine struct {
	Y    float64
	Text string
}

// burnSection is the part of the page for one service.
type burnSection struct {
	Row   burnRow
	Cells []string
	Plots []plot
}

type burnPage struct {
	Created  string
	Coverage string
	Warnings []string
	Head     []string
	Sections []burnSection
	Rows     [][]string
	Observed []string
}

// writePage writes the HTML page with the table and the plots. The page loads
// nothing from elsewhere.
func (r burnReport) writePage(env Env, op, name string, now time.Time) error {
	page := burnPage{
		Created:  now.UTC().Format("2006-01-02 15:04:05 UTC"),
		Coverage: r.coverage.text(Env{}),
		Warnings: r.Warnings,
		Observed: r.observedCells(),
	}
	for _, window := range r.Windows {
		page.Head = append(page.Head, shortDuration(window.Length))
	}
	for _, row := range r.Services {
		page.Sections = append(page.Sections, burnSection{
			Row:   row,
			Cells: row.cells(),
			Plots: []plot{
				drawPlot(row, 6*clock.Hour),
				drawPlot(row, burn.CoarseSpan),
			},
		})
	}
	for _, row := range r.Rows {
		page.Rows = append(page.Rows, row.cells())
	}
	var b bytes.Buffer
	t := template.Must(template.New("burn").Parse(burnTemplate))
	if err := t.Execute(&b, page); err != nil {
		return fileError(op, err)
	}
	return env.writeFile(op, name, b.Bytes())
}

// drawPlot draws the buckets of a row that lie within span, the newest at the
// right.
func drawPlot(row burnRow, span clock.Milli) plot {
	buckets := int(span / burn.CoarseWidth)
	topRate := minTopRate
	for _, c := range row.Buckets[:min(buckets, len(row.Buckets))] {
		topRate = max(topRate, rateOf(c, row.Good))
	}
	p := plot{
		Title:   "last " + strings.TrimSpace(shortDuration(span)),
		Width:   plotWidth,
		Height:  plotHeight,
		TopRate: fmt.Sprintf("%.0f", topRate),
		Start:   shortDuration(span) + " ago",
	}
	width := float64(plotWidth) / float64(buckets)
	for age, c := range row.Buckets[:min(buckets, len(row.Buckets))] {
		if c == (admin.Count{}) {
			continue
		}
		rate := rateOf(c, row.Good)
		height := max(rate/topRate*plotHeight, 1)
		p.Bars = append(p.Bars, plotBar{
			X:       plotWidth - float64(age+1)*width,
			Y:       plotHeight - height,
			W:       width,
			H:       height,
			Class:   barClass(rate),
			Tooltip: fmt.Sprintf("%s ago: rate %.1f, %d of %d bad", formatDuration(clock.Milli(age)*burn.CoarseWidth), rate, c.Bad, c.Good+c.Bad),
		})
	}
	for _, rate := range []float64{burn.FastRate, burn.SlowRate, 1} {
		p.Lines = append(p.Lines, plotLine{
			Y:    plotHeight - rate/topRate*plotHeight,
			Text: fmt.Sprintf("%g", rate),
		})
	}
	return p
}

func rateOf(c admin.Count, good int64) float64 {
	return burn.Rate(burn.Count{
		Good: c.Good,
		Bad:  c.Bad,
	}, good)
}

func barClass(rate float64) string {
	switch {
	case rate >= burn.FastRate:
		return "fast"
	case rate >= burn.SlowRate:
		return "slow"
	}
	return "calm"
}
