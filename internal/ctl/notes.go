package ctl

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// addNotes adds what one daemon says of itself.
func (s *status) addNotes(t *rules.Target, report admin.Status) {
	add := func(warn bool, kind, format string, args ...any) {
		s.Notes = append(s.Notes, note{
			Name:  t.Name,
			Place: t.Place,
			Kind:  kind,
			Text:  fmt.Sprintf(format, args...),
			Warn:  warn,
		})
	}
	if isShedding(report.Gate) {
		add(true, noteOverload, "%s", overloadWords(report.Gate))
	}
	if report.Leaving {
		add(false, noteLeaving, "leaving: takes no new work, %d still running", report.Gate.Short.Running+report.Gate.Long.Running)
	}
	if !report.Ready {
		add(true, noteStarting, "does not serve traffic yet; started %s ago", ago(report.Age))
	}
	if report.Stale {
		add(true, noteStale, "was paused and has not yet read anew what it believes")
	}
	if report.ActiveConfig.Version != s.Version || report.ActiveConfig.Digest != s.Digest {
		add(true, noteVersion, "has version %d (%s) in force, the newest is %d (%s); last confirmed %s",
			report.ActiveConfig.Version, shortDigest(report.ActiveConfig.Digest), s.Version, shortDigest(s.Digest), confirmedWords(report.ActiveConfig.Confirmed))
	}
	if n := len(report.RefusedConfigs); n > 0 {
		last := report.RefusedConfigs[n-1]
		add(last.Version > report.ActiveConfig.Version, noteRefused, "refused version %d from %s %s ago: %s", last.Version, last.From, ago(last.Age), last.Detail)
	}
	if report.Guard.TimesFull > 0 {
		add(true, noteFull, "its table of once-only requests was full %s since its start; %d of %d entries now",
			count(int(report.Guard.TimesFull), "time"), report.Guard.Entries, report.Guard.Capacity)
	}
}

// overloadWords says how loaded a gate is and what it sheds.
func overloadWords(g admin.Gate) string {
	words := fmt.Sprintf("overloaded: %d running and %d queued with a limit of %d",
		g.Short.Running+g.Long.Running, g.Short.Queued+g.Long.Queued, g.Short.Limit)
	switch g.Floor {
	case "":
		return words + "; sheds nothing yet"
	case rules.Spare.String():
		return words + "; sheds a part of spare"
	case rules.Normal.String(), rules.High.String(), rules.Vital.String():
		return words + "; sheds everything below " + g.Floor + " and a part of " + g.Floor
	}
	return words + "; sheds " + g.Floor
}

// belief counts the daemons that think badly of a member.
type belief struct {
	dead    int
	suspect int
	cut     int
}

func beliefsOf(reports map[string]admin.Status) map[string]belief {
	beliefs := make(map[string]belief)
	for _, report := range reports {
		for _, m := range report.Members {
			b := beliefs[m.Name]
			switch {
			case m.Unreachable:
				b.cut++
			case m.State == "dead":
				b.dead++
			case m.State == "suspect":
				b.suspect++
			}
			beliefs[m.Name] = b
		}
	}
	return beliefs
}

// addBelief adds what the others believe of a daemon.
func (s *status) addBelief(t *rules.Target, answered bool, b belief) {
	if b == (belief{}) {
		return
	}
	var parts []string
	for _, part := range []struct {
		n    int
		word string
	}{
		{
			n:    b.dead,
			word: "dead",
		},
		{
			n:    b.suspect,
			word: "suspect",
		},
		{
			n:    b.cut,
			word: "cut off",
		},
	} {
		if part.n > 0 {
			parts = append(parts, fmt.Sprintf("%s by %s", part.word, count(part.n, "daemon")))
		}
	}
	start := "answers here, but is believed "
	if !answered {
		start = "gave no answer here and is believed "
	}
	// A mere suspicion is refuted or confirmed within seconds.
	s.addNote(t, !answered || b.dead+b.cut > 0, start+strings.Join(parts, ", "))
}

func (s *status) addNote(t *rules.Target, warn bool, text string) {
	s.Notes = append(s.Notes, note{
		Name:  t.Name,
		Place: t.Place,
		Kind:  noteBelief,
		Text:  text,
		Warn:  warn,
	})
}

// addUnheard names the silent daemons that no other one thinks ill of: the fault
// may lie on the way from this host.
func (s *status) addUnheard(beliefs map[string]belief) {
	var names []string
	for _, missing := range s.Silent {
		if beliefs[missing.Name] == (belief{}) {
			names = append(names, missing.Name)
		}
	}
	if len(names) == 0 || s.Answered == 0 {
		return
	}
	s.Notes = append(s.Notes, note{
		Kind: noteUnheard,
		Text: "silent here, but thought well by all daemons that answered: " + shortList(names),
		Warn: true,
	})
}

// addRestarts names the daemons that started lately, on one line.
func (s *status) addRestarts(targets []*rules.Target, reports map[string]admin.Status) {
	var names []string
	for _, t := range targets {
		if report, ok := reports[t.Name]; ok && report.Ready && report.Age < restartShown {
			names = append(names, t.Name)
		}
	}
	if len(names) == 0 {
		return
	}
	s.Notes = append(s.Notes, note{
		Kind: noteRestart,
		Text: fmt.Sprintf("%s started within the last %s: %s", count(len(names), "daemon"), ago(restartShown), shortList(names)),
	})
}

// addService says when no daemon has heard of the configuration service.
func (s *status) addService(reports map[string]admin.Status) {
	least := admin.UnknownAge
	for _, report := range reports {
		age := report.ActiveConfig.Confirmed
		if age >= 0 && (least < 0 || age < least) {
			least = age
		}
	}
	if len(reports) == 0 || least >= 0 && least <= confirmedWithin {
		return
	}
	s.Notes = append(s.Notes, note{
		Kind: noteService,
		Text: "no daemon that answered has reached the configuration service lately; last confirmed " + confirmedWords(least),
		Warn: true,
	})
}

// addFile compares the document that listed the daemons with what is in force.
func (s *status) addFile(set *rules.Set) {
	if s.Answered == 0 || set.Digest() == s.Digest {
		return
	}
	s.Notes = append(s.Notes, note{
		Kind: noteFile,
		Text: fmt.Sprintf("the document asked with is version %d (%s), not the newest in force", set.Version(), shortDigest(set.Digest())),
	})
}

// digestShown is the number of digits of a digest that a report spells out.
const digestShown = 8

func shortDigest(digest string) string {
	if digest == "" {
		return "none"
	}
	return digest[:min(digestShown, len(digest))]
}

// ago returns a duration for people, in its two largest units.
func ago(d clock.Milli) string {
	switch {
	case d < 0:
		return "an unknown time"
	case d < clock.Minute:
		return fmt.Sprintf("%.1f s", float64(d)/float64(clock.Second))
	case d < clock.Hour:
		return fmt.Sprintf("%d min %d s", d/clock.Minute, d%clock.Minute/clock.Second)
	case d < 48*clock.Hour:
		return fmt.Sprintf("%d h %d min", d/clock.Hour, d%clock.Hour/clock.Minute)
	}
	return fmt.Sprintf("%d days", d/(24*clock.Hour))
}

func confirmedWords(age clock.Milli) string {
	if age < 0 {
		return "never"
	}
	return ago(age) + " ago"
}
