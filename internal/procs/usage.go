package procs

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/pkg/clock"
)

// clockTick is the unit of processor time in /proc, which Linux fixes at 100 a
// second for programs.
const clockTick = 10 * clock.Millisecond

var errStat = errors.New("unexpected content")

// Usage holds the resources that a process uses.
type Usage struct {
	// CPU is the processor time used so far, in user and system mode.
	CPU clock.Milli
	// Memory is the size of the resident set in bytes.
	Memory int64
}

// Usage reads the resource usage of the process.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, fail("read usage", Read, err)
	}
	return parseStat(data, int64(os.Getpagesize()))
}

// parseStat parses the content of /proc/PID/stat. The page size is in bytes.
func parseStat(data []byte, page int64) (Usage, error) {
	// Indexes of the fields after the program name in brackets. The name itself may
	// contain spaces and brackets.
	const (
		user     = 11
		system   = 12
		resident = 21
	)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= resident {
		return Usage{}, fail("read usage", Read, errStat)
	}
	var n [3]int64
	for i, at := range []int{user, system, resident} {
		v, err := strconv.ParseInt(fields[at], 10, 64)
		if err != nil {
			return Usage{}, fail("read usage", Read, err)
		}
		n[i] = v
	}
	return Usage{
		CPU:    clock.Milli(n[0]+n[1]) * clockTick,
		Memory: n[2] * page,
	}, nil
}
