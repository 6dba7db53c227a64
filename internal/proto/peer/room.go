package peer

import (
	"fmt"
	"math"
	"strconv"
)

// HeaderRoom names the header field, in answers of a daemon that learns about its
// target, that carries what it has learned.
const HeaderRoom = "Siskin-Room"

const (
	// roomParts is the number of units of a [Room] on the wire in one completion a
	// second.
	roomParts = 10
	// maxThroughput bounds the throughput that is believed.
	maxThroughput = 1e6
)

// Room is the value of [HeaderRoom].
type Room struct {
	// Throughput is the number of requests that the target completes in a second at
	// its limit; 0 is unknown.
	Throughput float64
}

// IsUnknown reports whether r has nothing to tell.
func (r Room) IsUnknown() bool { return math.Round(r.Throughput*roomParts) < 1 }

// String returns r as the value of [HeaderRoom].
func (r Room) String() string {
	return strconv.FormatInt(int64(math.Round(min(r.Throughput, maxThroughput)*roomParts)), base36)
}

// ParseRoom parses the value of [HeaderRoom].
func ParseRoom(s string) (Room, error) {
	n, err := strconv.ParseInt(s, base36, 64)
	if err != nil || n < 0 || n > maxThroughput*roomParts {
		return Room{}, fmt.Errorf("peer: parse room: invalid throughput %q", s)
	}
	return Room{
		Throughput: float64(n) / roomParts,
	}, nil
}
