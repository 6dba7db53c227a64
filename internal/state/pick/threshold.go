package pick

import (
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of thresholds stated by targets.
const (
	// statementFresh is the age up to which a threshold counts as stated.
	statementFresh = 200 * clock.Millisecond
	// statementLife is the age at which nothing is left of a threshold.
	statementLife = clock.Second
	// statementCount is the number of targets whose latest statements say
	// what the service takes.
	statementCount = 4
	// statementLeast is the number of targets that must have stated a
	// threshold before a request is called doomed, if there are as many.
	statementLeast = 2
)

// statement is a threshold that a target stated at an instant.
type statement struct {
	target    string
	threshold admit.Threshold
	at        clock.Milli
}

// present returns what is left of the threshold. It opens gradually once it
// is no longer fresh, so that a few requests pass and bring a new one; if it
// ended at once, all that it held back would come together.
func (s *statement) present(now clock.Milli) admit.Threshold {
	age := now - s.at
	if age <= statementFresh {
		return s.threshold
	}
	return s.threshold.Relax(float64(age-statementFresh) / float64(statementLife-statementFresh))
}

// statements holds the latest statements of a few targets, one for each.
type statements [statementCount]statement

// add takes the place of the same target's statement, or of the oldest.
func (l *statements) add(s statement) {
	place := 0
	for i := range l {
		if l[i].target == s.target {
			place = i
			break
		}
		if l[i].at < l[place].at {
			place = i
		}
	}
	l[place] = s
}

// least returns the most permissive of the thresholds, and whether enough of
// the usable targets have stated one. It is open if they have not.
func (l *statements) least(now clock.Milli, usable int) (admit.Threshold, bool) {
	least := admit.Highest()
	known := 0
	for i := range l {
		if l[i].target == "" || now-l[i].at >= statementLife {
			continue
		}
		least = least.Min(l[i].present(now))
		known++
	}
	if known == 0 || known < min(usable, statementLeast) {
		return admit.Threshold{}, false
	}
	return least, true
}
