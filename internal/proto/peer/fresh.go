package peer

import (
	"fmt"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/pkg/clock"
)

// HeaderFresh names the header field, in answers between daemons, that carries the
// sender's proof that its configuration is the newest: the version and the age of the
// proof. The receiver counts the age from when it sent its request, since it cannot
// tell how long the answer was on the way.
const HeaderFresh = "Siskin-Fresh"

// Fresh is the value of [HeaderFresh].
type Fresh struct {
	// Version is that of the configuration.
	Version uint64
	// Age is the time since the configuration was known to be the newest.
	Age clock.Milli
}

// String returns f as the value of [HeaderFresh].
func (f Fresh) String() string {
	return strconv.FormatUint(f.Version, base36) + "," + strconv.FormatInt(int64(f.Age), base36)
}

// ParseFresh parses the value of [HeaderFresh].
func ParseFresh(s string) (Fresh, error) {
	first, second, ok := strings.Cut(s, ",")
	version, err := strconv.ParseUint(first, base36, 64)
	if err != nil || !ok {
		return Fresh{}, fmt.Errorf("peer: parse fresh: invalid version in %q", s)
	}
	age, err := strconv.ParseInt(second, base36, 64)
	if err != nil || age < 0 {
		return Fresh{}, fmt.Errorf("peer: parse fresh: invalid age in %q", s)
	}
	return Fresh{
		Version: version,
		Age:     clock.Milli(age),
	}, nil
}
