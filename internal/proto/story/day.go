package story

import (
	"cmp"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
)

// Day sums up the logs of many daemons.
type Day struct {
	groups map[groupKey]*Group
	slots  map[int64]*Slot
	events map[string]int
	// LeftOut is the number of lines that the daemons did not write, and Unread
	// that of lines that could not be read.
	LeftOut int
	Unread  int
}

// groupKey names requests that are counted together. Calls of targets are told
// from what callers sent.
type groupKey struct {
	service    string
	importance string
	isCall     bool
}

// Group is what became of the requests of one service and importance.
type Group struct {
	Service    string `json:"service"`
	Importance string `json:"importance"`
	// IsCall says that targets sent them, not callers.
	IsCall bool `json:"call"`
	// Whole is an estimate: only a part of the lines is kept.
	Whole  int            `json:"whole"`
	Failed int            `json:"failed"`
	Causes map[string]int `json:"causes"`
}

// Slot is a second of a day.
type Slot struct {
	At     time.Time `json:"at"`
	Whole  int       `json:"whole"`
	Failed int       `json:"failed"`
}

// NewDay returns an empty day.
func NewDay() *Day {
	return &Day{
		groups: make(map[groupKey]*Group),
		slots:  make(map[int64]*Slot),
		events: make(map[string]int),
	}
}

// Add takes one line of a log.
func (d *Day) Add(l Line) {
	switch l.Event {
	case event.Lines.Number:
		d.LeftOut += l.Lines
	case event.Answered.Number:
		d.addAnswer(&l)
	case event.Attempt.Number:
	default:
		d.events[l.Text]++
	}
}

func (d *Day) addAnswer(l *Line) {
	key := groupKey{
		service:    l.Service,
		importance: l.Importance,
		isCall:     l.Depth > 0,
	}
	g, ok := d.groups[key]
	if !ok {
		g = &Group{
			Service:    l.Service,
			Importance: l.Importance,
			IsCall:     l.Depth > 0,
			Causes:     make(map[string]int),
		}
		d.groups[key] = g
	}
	second := l.Time.Unix()
	s, ok := d.slots[second]
	if !ok {
		s = &Slot{
			At: time.Unix(second, 0).UTC(),
		}
		d.slots[second] = s
	}
	isWhole := l.End == event.EndDone && l.Status < fasthttp.StatusInternalServerError
	n := max(l.Sample, 1)
	if isWhole {
		g.Whole += n
	} else {
		g.Failed += n
		g.Causes[l.End+": "+l.Reason] += n
	}
	if l.Depth > 0 {
		return
	}
	if isWhole {
		s.Whole += n
	} else {
		s.Failed += n
	}
}

// Groups returns the groups, those with the most failures first.
func (d *Day) Groups() []Group {
	list := make([]Group, 0, len(d.groups))
	for _, g := range d.groups {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Importance, b.Importance))
	})
	return list
}

// Slots returns the seconds in which callers were answered, in order.
func (d *Day) Slots() []Slot {
	list := make([]Slot, 0, len(d.slots))
	for _, s := range d.slots {
		if s.Whole+s.Failed > 0 {
			list = append(list, *s)
		}
	}
	slices.SortFunc(list, func(a, b Slot) int { return a.At.Compare(b.At) })
	return list
}

// Count is a number of like things.
type Count struct {
	What string `json:"what"`
	N    int    `json:"n"`
}

// Events returns how often each event that is not about a request was logged,
// the most frequent first.
func (d *Day) Events() []Count { return most(d.events) }

// Most returns the causes of failures, the most frequent first.
func (g *Group) Most() []Count { return most(g.Causes) }

func most(counts map[string]int) []Count {
	list := make([]Count, 0, len(counts))
	for what, n := range counts {
		list = append(list, Count{
			What: what,
			N:    n,
		})
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.What, b.What))
	})
	return list
}
