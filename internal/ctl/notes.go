package ctl

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// addDaemonNotes adds the notes that follow from a daemon's own status report.
func (s *status) addDaemonNotes(t *rules.Target, report admin.Status) {
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
		add(true, noteOverload, "%s", describeOverload(report.Gate))
	}
	if report.Leaving {
		add(false, noteLeaving, "leaving: takes no new work, %d still running", report.Gate.Short.Running+report.Gate.Long.Running)
	}
	if !report.Ready {
		add(true, noteStarting, "does not serve traffic yet; started %s ago", formatDuration(report.Age))
	}
	if report.Stale {
		add(true, noteStale, "was paused and has not yet read anew what it believes")
	}
	if report.ActiveConfig.Version != s.Version || report.ActiveConfig.Digest != s.Digest {
		add(true, noteVersion, "has version %d (%s) in force, the newest is %d (%s); last confirmed %s",
			report.ActiveConfig.Version, shortDigest(report.ActiveConfig.Digest), s.Version, shortDigest(s.Digest), formatConfirmed(report.ActiveConfig.Confirmed))
	}
	if n := len(report.RefusedConfigs); n > 0 {
		last := report.RefusedConfigs[n-1]
		add(last.Version > report.ActiveConfig.Version, noteRefused, "refused version %d from %s %s ago: %s", last.Version, last.From, formatDuration(last.Age), last.Detail)
	}
	if report.Guard.TimesFull > 0 {
		add(true, noteGuardFull, "its table of once-only requests was full %s since its start; %d of %d entries now",
			pluralize(int(report.Guard.TimesFull), "time"), report.Guard.Entries, report.Guard.Capacity)
	}
}

// describeOverload describes the load of an admission gate and the importances
// that it sheds.
func describeOverload(g admin.Gate) string {
	text := fmt.Sprintf("overloaded: %d running and %d queued with a limit of %d",
		g.Short.Running+g.Long.Running, g.Short.Queued+g.Long.Queued, g.Short.Limit)
	switch g.Floor {
	case "":
		return text + "; sheds nothing yet"
	case rules.Spare.String():
		return text + "; sheds a part of spare"
	case rules.Normal.String(), rules.High.String(), rules.Vital.String():
		return text + "; sheds everything below " + g.Floor + " and a part of " + g.Floor
	}
	return text + "; sheds " + g.Floor
}

// memberView counts the daemons that consider a member dead, suspect or
// unreachable.
type memberView struct {
	dead        int
	suspect     int
	unreachable int
}

// memberViewsOf returns the memberView of each member that some daemon lists.
func memberViewsOf(reports map[string]admin.Status) map[string]memberView {
	views := make(map[string]memberView)
	for _, report := range reports {
		for _, m := range report.Members {
			v := views[m.Name]
			switch {
			case m.Unreachable:
				v.unreachable++
			case m.State == "dead":
				v.dead++
			case m.State == "suspect":
				v.suspect++
			}
			views[m.Name] = v
		}
	}
	return views
}

// addMemberView adds a note on a daemon that other daemons consider dead,
// suspect or unreachable.
func (s *status) addMemberView(t *rules.Target, answered bool, v memberView) {
	if v == (memberView{}) {
		return
	}
	var parts []string
	for _, part := range []struct {
		n    int
		word string
	}{
		{
			n:    v.dead,
			word: "dead",
		},
		{
			n:    v.suspect,
			word: "suspect",
		},
		{
			n:    v.unreachable,
			word: "cut off",
		},
	} {
		if part.n > 0 {
			parts = append(parts, fmt.Sprintf("%s by %s", part.word, pluralize(part.n, "daemon")))
		}
	}
	start := "answers here, but is believed "
	if !answered {
		start = "gave no answer here and is believed "
	}
	// No warning for a suspicion alone: it is refuted or confirmed within
	// seconds.
	s.addNote(t, !answered || v.dead+v.unreachable > 0, start+strings.Join(parts, ", "))
}

func (s *status) addNote(t *rules.Target, warn bool, text string) {
	s.Notes = append(s.Notes, note{
		Name:  t.Name,
		Place: t.Place,
		Kind:  noteMemberView,
		Text:  text,
		Warn:  warn,
	})
}

// addSilentHere lists the daemons that did not answer but that no other daemon
// considers dead, suspect or unreachable. The fault may lie in the network
// between them and this host.
func (s *status) addSilentHere(views map[string]memberView) {
	var names []string
	for _, missing := range s.Silent {
		if views[missing.Name] == (memberView{}) {
			names = append(names, missing.Name)
		}
	}
	if len(names) == 0 || s.Answered == 0 {
		return
	}
	s.Notes = append(s.Notes, note{
		Kind: noteSilentHere,
		Text: "silent here, but thought well by all daemons that answered: " + shortList(names),
		Warn: true,
	})
}

// addRestarts adds one note with all daemons that started recently.
func (s *status) addRestarts(targets []*rules.Target, reports map[string]admin.Status) {
	var names []string
	for _, t := range targets {
		if report, ok := reports[t.Name]; ok && report.Ready && report.Age < recentRestart {
			names = append(names, t.Name)
		}
	}
	if len(names) == 0 {
		return
	}
	s.Notes = append(s.Notes, note{
		Kind: noteRestart,
		Text: fmt.Sprintf("%s started within the last %s: %s", pluralize(len(names), "daemon"), formatDuration(recentRestart), shortList(names)),
	})
}

// addConfigService adds a note if no daemon has reached the configuration
// service within maxConfirmedAge.
func (s *status) addConfigService(reports map[string]admin.Status) {
	lowestAge := admin.UnknownAge
	for _, report := range reports {
		age := report.ActiveConfig.Confirmed
		if age >= 0 && (lowestAge < 0 || age < lowestAge) {
			lowestAge = age
		}
	}
	if len(reports) == 0 || lowestAge >= 0 && lowestAge <= maxConfirmedAge {
		return
	}
	s.Notes = append(s.Notes, note{
		Kind: noteConfigService,
		Text: "no daemon that answered has reached the configuration service lately; last confirmed " + formatConfirmed(lowestAge),
		Warn: true,
	})
}

// addDocument adds a note if the document that lists the daemons is not the
// newest in force.
func (s *status) addDocument(set *rules.Set) {
	if s.Answered == 0 || set.Digest() == s.Digest {
		return
	}
	s.Notes = append(s.Notes, note{
		Kind: noteDocument,
		Text: fmt.Sprintf("the document asked with is version %d (%s), not the newest in force", set.Version(), shortDigest(set.Digest())),
	})
}

// digestDigits is the number of digits of a digest that a report shows.
const digestDigits = 8

func shortDigest(digest string) string {
	if digest == "" {
		return "none"
	}
	return digest[:min(digestDigits, len(digest))]
}

// formatDuration formats a duration in its two largest units. A negative
// duration is unknown.
func formatDuration(d clock.Milli) string {
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

func formatConfirmed(age clock.Milli) string {
	if age < 0 {
		return "never"
	}
	return formatDuration(age) + " ago"
}
