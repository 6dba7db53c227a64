package peer

import (
	"fmt"
	"strconv"
)

// HeaderSeen names the header field, in requests and answers between daemons, that
// carries the revision of the newest change of the store that the sender knows. A
// receiver that knows only older ones has missed a change.
const HeaderSeen = "Siskin-Seen"

// FormatSeen returns a revision as the value of [HeaderSeen].
func FormatSeen(revision int64) string { return strconv.FormatInt(revision, base36) }

// ParseSeen parses the value of [HeaderSeen].
func ParseSeen(s string) (int64, error) {
	revision, err := strconv.ParseInt(s, base36, 64)
	if err != nil || revision <= 0 {
		return 0, fmt.Errorf("peer: parse seen: invalid revision %q", s)
	}
	return revision, nil
}
