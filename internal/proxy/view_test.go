package proxy

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/state/model"
)

// Guards against an older view that is applied after a newer one, when the ticker
// and the follower update the view at the same time: a target that leaves would be
// in use again (DRAIN).
func TestViewsAreAppliedInOrder(t *testing.T) {
	const (
		older = 1
		newer = 2
	)
	reached := make(chan struct{})
	release := make(chan struct{})
	var applied []uint64
	vt := newViewTracker(zap.NewNop(), func(v *model.View) {
		if v.Config.Version == older {
			close(reached)
			<-release
		}
		applied = append(applied, v.Config.Version)
	})
	update := func(version uint64) <-chan struct{} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			vt.update(func(v *model.View) {
				v.Config = &model.Config{
					Version: version,
				}
			})
		}()
		return done
	}
	first := update(older)
	<-reached
	second := update(newer)
	select {
	case <-second:
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	<-first
	<-second
	if last := applied[len(applied)-1]; len(applied) != 2 || last != newer {
		t.Errorf("applied %v, want the newer view last", applied)
	}
}
