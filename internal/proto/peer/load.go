package peer

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/pkg/clock"
)

// HeaderLoad names the header field, in requests and answers between daemons, that
// carries what the sender knows of overloaded services.
//
// Its value has four parts, separated by dots: the key of the sender's region, and the
// needs, the loads and the flows, each of a fixed number of digits in base 36 without
// separators. Amounts are on a logarithmic scale of loadSteps steps for each doubling,
// with 0 as the least.
const HeaderLoad = "Siskin-Load"

const (
	loadKeyDigits         = 5
	loadIncarnationDigits = 6
	loadSeqDigits         = 5
	loadAgeDigits         = 2
	loadAmountDigits      = 2
	loadSteps             = 32
	leastAmount           = 1.0 / 1024
	loadFlowAmounts       = len(room.Flow{}.Offered) + 1

	needBytes = loadKeyDigits + loadAmountDigits + 1
	loadBytes = 2*loadKeyDigits + loadIncarnationDigits + loadSeqDigits + 2*loadAmountDigits + loadAgeDigits
	flowBytes = loadKeyDigits + loadFlowAmounts*loadAmountDigits
)

// RoomNews is the value of [HeaderLoad].
type RoomNews struct {
	// Region is the key of the sender's region.
	Region uint32
	// Needs are the calls that the request of an answer needed.
	Needs []room.Need
	Loads []room.Load
	Flows []room.Flow
}

// IsEmpty reports whether n holds nothing.
func (n *RoomNews) IsEmpty() bool { return len(n.Needs)+len(n.Loads)+len(n.Flows) == 0 }

// String returns n as the value of [HeaderLoad].
func (n *RoomNews) String() string {
	b := make([]byte, 0, loadKeyDigits+3+len(n.Needs)*needBytes+len(n.Loads)*loadBytes+len(n.Flows)*flowBytes)
	b = append(appendDigits(b, uint64(n.Region), loadKeyDigits), '.')
	for _, need := range n.Needs {
		b = appendDigits(b, uint64(need.Service), loadKeyDigits)
		b = appendAmount(b, need.Calls)
		b = append(b, formatBool(need.Spills)...)
	}
	b = append(b, '.')
	for _, l := range n.Loads {
		b = appendDigits(b, uint64(l.Service), loadKeyDigits)
		b = appendDigits(b, uint64(l.Target), loadKeyDigits)
		b = appendDigits(b, uint64(l.Incarnation), loadIncarnationDigits)
		b = appendDigits(b, uint64(l.Seq), loadSeqDigits)
		b = appendAmount(b, l.Capacity)
		b = appendAmount(b, l.Demand)
		b = appendDigits(b, uint64(l.Age), loadAgeDigits)
	}
	b = append(b, '.')
	for _, f := range n.Flows {
		b = appendDigits(b, uint64(f.Service), loadKeyDigits)
		for _, v := range f.Offered {
			b = appendAmount(b, v)
		}
		b = appendAmount(b, f.LetIn)
	}
	return string(b)
}

// appendAmount appends an amount, which is 0 if it is below the least.
func appendAmount(b []byte, v float64) []byte {
	if v < leastAmount {
		return appendDigits(b, 0, loadAmountDigits)
	}
	step := 1 + math.Round(math.Log2(v/leastAmount)*loadSteps)
	return appendDigits(b, uint64(min(step, base36*base36-1)), loadAmountDigits)
}

// digitReader reads the digits of a part, and remembers the first error.
type digitReader struct {
	left string
	err  error
}

func (r *digitReader) number(digits int) uint64 {
	if len(r.left) < digits {
		r.err = fmt.Errorf("%d digits are missing", digits-len(r.left))
		return 0
	}
	v, err := strconv.ParseUint(r.left[:digits], base36, 64)
	if err != nil && r.err == nil {
		r.err = err
	}
	r.left = r.left[digits:]
	return v
}

func (r *digitReader) key() uint32 { return uint32(r.number(loadKeyDigits)) }

func (r *digitReader) amount() float64 {
	step := r.number(loadAmountDigits)
	if step == 0 {
		return 0
	}
	return leastAmount * math.Exp2(float64(step-1)/loadSteps)
}

// parseRecords calls read for each record of a part.
func parseRecords(part string, size, maxRecords int, read func(*digitReader)) error {
	if len(part)%size != 0 || len(part)/size > maxRecords {
		return fmt.Errorf("peer: parse load: a part of %d bytes", len(part))
	}
	r := digitReader{
		left: part,
	}
	for r.left != "" && r.err == nil {
		read(&r)
	}
	if r.err != nil {
		return fmt.Errorf("peer: parse load: %w", r.err)
	}
	return nil
}

// ParseRoomNews parses the value of [HeaderLoad]. It does not check that the values
// are in range for a [room.Room], which does so itself.
func ParseRoomNews(s string) (RoomNews, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || len(parts[0]) != loadKeyDigits {
		return RoomNews{}, fmt.Errorf("peer: parse load: %d parts", len(parts))
	}
	var n RoomNews
	err := parseRecords(parts[0], loadKeyDigits, 1, func(r *digitReader) { n.Region = r.key() })
	if err != nil {
		return RoomNews{}, err
	}
	err = parseRecords(parts[1], needBytes, room.MaxNeeds, func(r *digitReader) {
		n.Needs = append(n.Needs, room.Need{
			Service: r.key(),
			Calls:   r.amount(),
			Spills:  r.number(1) == 1,
		})
	})
	if err != nil {
		return RoomNews{}, err
	}
	err = parseRecords(parts[2], loadBytes, room.MaxLoads, func(r *digitReader) {
		n.Loads = append(n.Loads, room.Load{
			Service:     r.key(),
			Target:      r.key(),
			Incarnation: int64(r.number(loadIncarnationDigits)),
			Seq:         int64(r.number(loadSeqDigits)),
			Capacity:    r.amount(),
			Demand:      r.amount(),
			Age:         clock.Milli(r.number(loadAgeDigits)),
		})
	})
	if err != nil {
		return RoomNews{}, err
	}
	err = parseRecords(parts[3], flowBytes, room.MaxNeeds, func(r *digitReader) {
		f := room.Flow{
			Service: r.key(),
		}
		for i := range f.Offered {
			f.Offered[i] = r.amount()
		}
		f.LetIn = r.amount()
		n.Flows = append(n.Flows, f)
	})
	if err != nil {
		return RoomNews{}, err
	}
	return n, nil
}
