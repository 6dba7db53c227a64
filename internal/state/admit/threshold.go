package admit

import (
	"fmt"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

// bandBits is the number of leading bits of a root hash that a threshold
// tells apart.
const bandBits = 16

// levelSize is the number of bands in one importance.
const levelSize = 1 << bandBits

// levelTop is the level that no work passes.
const levelTop = uint32(rules.Vital+1) << bandBits

// Threshold is the least (importance, root hash) that a target takes at
// present. The zero value lets everything pass. Thresholds are values that
// compare with ==; [Threshold.Max] orders them.
type Threshold struct {
	level uint32
}

// Highest returns the threshold that nothing passes.
func Highest() Threshold {
	return Threshold{
		level: levelTop,
	}
}

// levelOf returns the rank of a work as a threshold sees it.
func levelOf(importance rules.Importance, root uint64) uint32 {
	return uint32(importance)<<bandBits | uint32(root>>(64-bandBits))
}

// Passes reports whether a work of the importance and root hash is taken.
func (t Threshold) Passes(importance rules.Importance, root uint64) bool {
	return levelOf(importance, root) >= t.level
}

// IsOpen reports whether t lets everything pass.
func (t Threshold) IsOpen() bool { return t.level == 0 }

// Max returns the stricter of t and o.
func (t Threshold) Max(o Threshold) Threshold {
	if o.level > t.level {
		return o
	}
	return t
}

// Min returns the more permissive of t and o.
func (t Threshold) Min(o Threshold) Threshold {
	if o.level < t.level {
		return o
	}
	return t
}

// Relax returns t opened by a part, 0 to 1, of the whole range.
func (t Threshold) Relax(part float64) Threshold {
	fall := uint32(float64(levelTop) * min(max(part, 0), 1))
	return Threshold{
		level: t.level - min(t.level, fall),
	}
}

// ShedShare returns the part of all levels that t shuts out, in 0 to 1.
func (t Threshold) ShedShare() float64 { return float64(t.level) / float64(levelTop) }

// String returns t as header text: the importance, a dot, and the band in
// hexadecimal, such as "2.8f3a". [ParseThreshold] reads it back.
func (t Threshold) String() string {
	return fmt.Sprintf("%d.%x", t.level>>bandBits, t.level&(levelSize-1))
}

// ParseThreshold reads the text form of a threshold. It returns an [*Error]
// of kind Syntax or Range.
func ParseThreshold(s string) (Threshold, error) {
	const op = "parse threshold"
	high, low, ok := strings.Cut(s, ".")
	if !ok {
		return Threshold{}, &Error{
			Op:   op,
			Kind: Syntax,
			Err:  fmt.Errorf("no dot in %q", s),
		}
	}
	importance, err := strconv.ParseUint(high, 10, 8)
	if err != nil {
		return Threshold{}, &Error{
			Op:   op,
			Kind: Syntax,
			Err:  err,
		}
	}
	band, err := strconv.ParseUint(low, 16, bandBits)
	if err != nil {
		return Threshold{}, &Error{
			Op:   op,
			Kind: Syntax,
			Err:  err,
		}
	}
	level := uint32(importance)<<bandBits | uint32(band)
	if level > levelTop {
		return Threshold{}, &Error{
			Op:   op,
			Kind: Range,
			Err:  fmt.Errorf("%q is above the highest threshold", s),
		}
	}
	return Threshold{
		level: level,
	}, nil
}
