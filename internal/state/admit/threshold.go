package admit

import (
	"fmt"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

// hashBits is the number of leading bits of a root hash that a threshold
// distinguishes.
const hashBits = 16

// levelsPerImportance is the number of levels of one importance.
const levelsPerImportance = 1 << hashBits

// maxLevel is the level that no request reaches.
const maxLevel = uint32(rules.Vital+1) << hashBits

// Threshold is the least (importance, root hash) that a target admits at
// present. The zero value is open: it lets everything pass. Thresholds can be
// compared with ==; [Threshold.Max] and [Threshold.Min] order them.
type Threshold struct {
	level uint32
}

// Highest returns the threshold that no request passes.
func Highest() Threshold {
	return Threshold{
		level: maxLevel,
	}
}

// levelOf returns the level of a request: its importance followed by the
// leading bits of its root hash.
func levelOf(importance rules.Importance, root uint64) uint32 {
	return uint32(importance)<<hashBits | uint32(root>>(64-hashBits))
}

// Passes reports whether t admits a request of the importance and root hash.
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

// Relax returns t lowered by a fraction, 0 to 1, of the whole range of levels.
func (t Threshold) Relax(fraction float64) Threshold {
	decrease := uint32(float64(maxLevel) * min(max(fraction, 0), 1))
	return Threshold{
		level: t.level - min(t.level, decrease),
	}
}

// ShedShare returns the fraction, 0 to 1, of all levels that t refuses.
func (t Threshold) ShedShare() float64 { return float64(t.level) / float64(maxLevel) }

// String returns the text form for headers: the importance, a dot, and the
// leading bits of the root hash in hexadecimal, such as "2.8f3a".
// [ParseThreshold] reads it back.
func (t Threshold) String() string {
	return fmt.Sprintf("%d.%x", t.level>>hashBits, t.level&(levelsPerImportance-1))
}

// ParseThreshold reads the text form of a threshold. The error is an [*Error]
// of kind [Syntax] or [Range].
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
	hashPart, err := strconv.ParseUint(low, 16, hashBits)
	if err != nil {
		return Threshold{}, &Error{
			Op:   op,
			Kind: Syntax,
			Err:  err,
		}
	}
	level := uint32(importance)<<hashBits | uint32(hashPart)
	if level > maxLevel {
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
