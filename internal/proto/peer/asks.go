package peer

import (
	"fmt"
	"math"
	"strconv"

	"siskinswitch.example/siskin/internal/state/fair"
)

// HeaderAsks names the header field, in requests and answers between daemons, that
// carries the sender's estimates of what client accounts ask for.
//
// Each estimate is a key of five digits and a rate of two, in base 36 and without
// separators. The rate is on a logarithmic scale of askSteps steps for each doubling.
const HeaderAsks = "Siskin-Asks"

const (
	askKeyDigits  = 5
	askRateDigits = 2
	askBytes      = askKeyDigits + askRateDigits
	askSteps      = 32
)

// FormatAsks returns statements as the value of [HeaderAsks].
func FormatAsks(statements []fair.Statement) string {
	b := make([]byte, 0, len(statements)*askBytes)
	for _, s := range statements {
		rate := min(max(s.Rate, fair.MinRate), fair.MaxRate)
		b = appendDigits(b, uint64(s.Key), askKeyDigits)
		b = appendDigits(b, uint64(math.Round(math.Log2(rate/fair.MinRate)*askSteps)), askRateDigits)
	}
	return string(b)
}

// appendDigits appends the last n digits of v in base 36.
func appendDigits(b []byte, v uint64, n int) []byte {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	begin := len(b)
	for range n {
		b = append(b, '0')
	}
	for i := begin + n - 1; i >= begin; i-- {
		b[i] = digits[v%base36]
		v /= base36
	}
	return b
}

// ParseAsks parses the value of [HeaderAsks].
func ParseAsks(s string) ([]fair.Statement, error) {
	n := len(s) / askBytes
	if n == 0 || len(s)%askBytes != 0 || n > fair.MaxStatements {
		return nil, fmt.Errorf("peer: parse asks: %d bytes", len(s))
	}
	statements := make([]fair.Statement, 0, n)
	for ; s != ""; s = s[askBytes:] {
		key, err := strconv.ParseUint(s[:askKeyDigits], base36, 32)
		if err != nil {
			return nil, fmt.Errorf("peer: parse asks: key: %w", err)
		}
		step, err := strconv.ParseUint(s[askKeyDigits:askBytes], base36, 32)
		if err != nil {
			return nil, fmt.Errorf("peer: parse asks: rate: %w", err)
		}
		rate := fair.MinRate * math.Exp2(float64(step)/askSteps)
		if rate > fair.MaxRate {
			return nil, fmt.Errorf("peer: parse asks: rate %g is too high", rate)
		}
		statements = append(statements, fair.Statement{
			Key:  uint32(key),
			Rate: rate,
		})
	}
	return statements, nil
}
