package peer

import (
	"fmt"
	"strconv"

	"siskinswitch.example/siskin/pkg/clock"
)

// HeaderEnds names the header field, in answers of a daemon that stops, that carries
// the time in milliseconds until it ends. The daemon takes no work with a later
// deadline.
const HeaderEnds = "Siskin-Ends"

// FormatEnds returns a time as the value of [HeaderEnds].
func FormatEnds(left clock.Milli) string { return strconv.FormatInt(int64(left), 10) }

// ParseEnds parses the value of [HeaderEnds].
func ParseEnds(s string) (clock.Milli, error) {
	left, err := strconv.ParseInt(s, 10, 64)
	if err != nil || left <= 0 {
		return 0, fmt.Errorf("peer: parse ends: invalid time %q", s)
	}
	return clock.Milli(left), nil
}
