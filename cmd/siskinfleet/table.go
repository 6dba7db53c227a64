package main

import (
	"fmt"
	"math"
)

func printHead() {
	fmt.Println("   N | calm: cpu %  in kB/s out kB/s  msg/s reads/s | changes: cpu %  in kB/s out kB/s reads/s | in force ms: 50%   99%  100% | MB mean   max | restart ms reads/s")
}

func printRow(r row) {
	fmt.Printf("%4d | %11.2f %8.2f %8.2f %6.1f %7.1f | %14.2f %8.2f %8.2f %7.1f | %16d %5d %5d | %7.1f %5.1f | %10d %7d\n",
		r.n,
		100*r.idle.cpu, r.idle.bytesIn/1e3, r.idle.bytesOut/1e3, r.idle.messages, r.idle.reads,
		100*r.changes.cpu, r.changes.bytesIn/1e3, r.changes.bytesOut/1e3, r.changes.reads,
		r.configDelays[0], r.configDelays[1], r.configDelays[2],
		r.memory/1e6, r.maxMemory/1e6,
		r.restartTime, r.peakReads)
}

// column is a column of the results that a line is fitted to.
type column struct {
	name  string
	value func(row) float64
}

var columns = []column{
	{
		name:  "calm cpu, % of a core",
		value: func(r row) float64 { return 100 * r.idle.cpu },
	},
	{
		name:  "calm bytes out, kB/s",
		value: func(r row) float64 { return r.idle.bytesOut / 1e3 },
	},
	{
		name:  "calm bytes in, kB/s",
		value: func(r row) float64 { return r.idle.bytesIn / 1e3 },
	},
	{
		name:  "calm messages sent, 1/s",
		value: func(r row) float64 { return r.idle.messages },
	},
	{
		name:  "calm reads of all, 1/s",
		value: func(r row) float64 { return r.idle.reads },
	},
	{
		name:  "changes cpu, % of a core",
		value: func(r row) float64 { return 100 * r.changes.cpu },
	},
	{
		name:  "changes bytes out, kB/s",
		value: func(r row) float64 { return r.changes.bytesOut / 1e3 },
	},
	{
		name:  "in force at all, ms",
		value: func(r row) float64 { return float64(r.configDelays[2]) },
	},
	{
		name:  "memory, MB",
		value: func(r row) float64 { return r.memory / 1e6 },
	},
	{
		name:  "restart peak of reads, 1/s",
		value: func(r row) float64 { return float64(r.peakReads) },
	},
}

// printLines fits a line to each column and prints it with its value at the fleet
// size to. It prints nothing for a single size.
func printLines(rows []row, to int) {
	if len(rows) < 2 {
		return
	}
	fmt.Printf("\n%-28s %12s %12s %14s %10s\n", "line through the sizes", "at 0", "per 100", fmt.Sprintf("at %d", to), "residual")
	for _, c := range columns {
		x, y := make([]float64, len(rows)), make([]float64, len(rows))
		for i, r := range rows {
			x[i], y[i] = float64(r.n), c.value(r)
		}
		l := fit(x, y)
		fmt.Printf("%-28s %12.3f %12.3f %14.3f %10.3f\n", c.name, l.base, 100*l.slope, l.at(float64(to)), l.residual)
	}
}

// line is a straight line with the root mean square of its residuals.
type line struct {
	base     float64
	slope    float64
	residual float64
}

func (l line) at(x float64) float64 { return l.base + l.slope*x }

// fit returns the least squares line through the points, which must have at least
// two different x.
func fit(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var l line
	l.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.base = (sy - l.slope*sx) / n
	for i := range x {
		d := y[i] - l.at(x[i])
		l.residual += d * d / n
	}
	l.residual = math.Sqrt(l.residual)
	return l
}
