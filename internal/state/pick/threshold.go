package pick

import (
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of the thresholds that targets state.
const (
	// thresholdFresh is the age up to which a threshold applies as stated.
	thresholdFresh = 200 * clock.Millisecond
	// thresholdLifetime is the age from which a threshold no longer applies.
	thresholdLifetime = clock.Second
	// maxStated is the number of targets whose latest thresholds are kept for
	// an operation.
	maxStated = 4
	// minStated is the number of targets that must have stated a threshold
	// before a request counts as doomed. With fewer usable targets all of them
	// must have.
	minStated = 2
)

// statedThreshold is the threshold that a target stated at an instant.
type statedThreshold struct {
	target    string
	threshold admit.Threshold
	at        clock.Milli
}

// relaxed returns the threshold relaxed by its age. It opens gradually once it
// is no longer fresh, so that a few requests pass and bring back a new
// threshold. If it ended at once, all requests that it held back would arrive
// together.
func (s *statedThreshold) relaxed(now clock.Milli) admit.Threshold {
	age := now - s.at
	if age <= thresholdFresh {
		return s.threshold
	}
	return s.threshold.Relax(float64(age-thresholdFresh) / float64(thresholdLifetime-thresholdFresh))
}

// statedThresholds holds the latest thresholds of a few targets, at most one
// for each target.
type statedThresholds [maxStated]statedThreshold

// add replaces the earlier threshold of the same target, or the oldest one.
func (l *statedThresholds) add(s statedThreshold) {
	slot := 0
	for i := range l {
		if l[i].target == s.target {
			slot = i
			break
		}
		if l[i].at < l[slot].at {
			slot = i
		}
	}
	l[slot] = s
}

// mostPermissive returns the most permissive of the thresholds, and whether
// enough of the usable targets have stated one. If not, the threshold is open.
func (l *statedThresholds) mostPermissive(now clock.Milli, usable int) (admit.Threshold, bool) {
	mostPermissive := admit.Highest()
	known := 0
	for i := range l {
		if l[i].target == "" || now-l[i].at >= thresholdLifetime {
			continue
		}
		mostPermissive = mostPermissive.Min(l[i].relaxed(now))
		known++
	}
	if known == 0 || known < min(usable, minStated) {
		return admit.Threshold{}, false
	}
	return mostPermissive, true
}
