package proxy

import (
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

// viewTracker holds the daemon's view of the platform: the configuration and
// the targets, as the records in the store describe them. The follower and the
// daemon's ticker update it; the data path reads immutable snapshots without
// locking.
type viewTracker struct {
	log *zap.Logger
	// onUpdate is called with each new view, in their order.
	onUpdate func(*model.View)
	// onPanic is called with a panic while a record was decoded, onUnreadable with
	// the kind of each item that can't be read.
	onPanic      func(*rescue.Error)
	onUnreadable func(kind string)
	// decodeTarget and decodeConfig decode records. Tests replace them.
	decodeTarget func(key string, value []byte) (model.Target, error)
	decodeConfig func(value []byte) (*model.Config, error)

	// unreadConfig is the revision of the newest configuration that could not be
	// read, 0 if a newer one was read since. mu guards it.
	unreadConfig int64

	// mu serializes updates and the calls of onUpdate.
	mu   sync.Mutex
	view atomic.Pointer[model.View]
}

func newViewTracker(log *zap.Logger, onUpdate func(*model.View)) *viewTracker {
	vt := &viewTracker{
		log:      log,
		onUpdate: onUpdate,
		onPanic:  func(*rescue.Error) {},

		onUnreadable: func(string) {},
		decodeTarget: platform.DecodeTarget,
		decodeConfig: platform.DecodeConfig,
	}
	vt.view.Store(&model.View{})
	return vt
}

// update publishes the view that change derives from the current one. change
// gets a shallow copy: it replaces fields and must not modify what they refer
// to.
func (vt *viewTracker) update(change func(v *model.View)) {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	next := *vt.view.Load()
	change(&next)
	vt.view.Store(&next)
	vt.onUpdate(&next)
}

// applyList replaces the targets by those of a complete list of the store, and
// adopts a newer configuration in it. With mayLack, the store was silent before the
// list for so long that records may have lapsed; targets missing from it are then
// kept for a while. A record that can't be decoded is logged and left out.
func (vt *viewTracker) applyList(now clock.Milli, items []watch.Item, mayLack bool) {
	targets := make([]model.Target, 0, len(items))
	for _, item := range items {
		if !isTarget(item) {
			continue
		}
		t, err := vt.target(item)
		if err != nil {
			vt.leaveOut(item, err)
			continue
		}
		targets = append(targets, t)
	}
	vt.update(func(v *model.View) {
		v.IsLate = true
		v.Config = vt.newestConfig(v.Config, items)
		v.Fleet = v.Fleet.WithList(now, targets, mayLack)
	})
	event.Info(vt.log, event.TargetsListed, zap.Int("targets", len(targets)), zap.Bool("away", mayLack))
}

// applyChanges applies the changes that a watch returned, in their order.
func (vt *viewTracker) applyChanges(_ clock.Milli, items []watch.Item) {
	vt.update(func(v *model.View) {
		v.IsLate = false
		v.Config = vt.newestConfig(v.Config, items)
		for _, item := range items {
			if isTarget(item) {
				v.Fleet = vt.withItem(v.Fleet, item)
			}
		}
	})
}

// applyConfig adopts a newer configuration among items and leaves the targets as they
// are.
func (vt *viewTracker) applyConfig(items []watch.Item) {
	vt.update(func(v *model.View) { v.Config = vt.newestConfig(v.Config, items) })
}

// isConfigKnown reports whether the newest configuration that was seen could be read.
func (vt *viewTracker) isConfigKnown() bool {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	return vt.unreadConfig == 0
}

// newestConfig returns the configuration with the highest version among items
// and present, which may be nil. A configuration that can't be decoded is
// logged and ignored. vt.mu must be held.
func (vt *viewTracker) newestConfig(current *model.Config, items []watch.Item) *model.Config {
	for _, item := range items {
		if item.Key != platform.ConfigKey || item.Removed {
			continue
		}
		c, err := vt.config(item)
		if err != nil {
			vt.unreadConfig = max(vt.unreadConfig, item.Revision)
			vt.onUnreadable("config")
			event.Warn(vt.log, event.ConfigRefused, zap.Int64("revision", item.Revision), zap.Error(err))
			continue
		}
		if item.Revision > vt.unreadConfig {
			vt.unreadConfig = 0
		}
		if current != nil && c.Version <= current.Version {
			continue
		}
		current = c
		event.Info(vt.log, event.ConfigApplied, zap.Uint64("version", c.Version), zap.Int64("revision", item.Revision))
	}
	return current
}

// isTarget reports whether an item is the record of a target. An item without a
// key counts as one, so that it is reported.
func isTarget(item watch.Item) bool {
	return item.Key == "" || strings.HasPrefix(item.Key, platform.TargetPrefix)
}

// leaveOut reports a record of a target that can't be read.
func (vt *viewTracker) leaveOut(item watch.Item, err error) {
	vt.onUnreadable("target")
	event.Warn(vt.log, event.RecordUnreadable, zap.String("key", item.Key), zap.Error(err))
}

// target decodes the record of a target. A panic makes the record unreadable.
func (vt *viewTracker) target(item watch.Item) (t model.Target, err error) {
	if item.Err != nil {
		return model.Target{}, item.Err
	}
	panicked := rescue.Run("decode a target", func() { t, err = vt.decodeTarget(item.Key, item.Value) })
	if panicked != nil {
		vt.onPanic(panicked)
		return model.Target{}, panicked
	}
	return t, err
}

// config decodes a configuration. A panic makes it unreadable.
func (vt *viewTracker) config(item watch.Item) (c *model.Config, err error) {
	if item.Err != nil {
		return nil, item.Err
	}
	panicked := rescue.Run("decode a configuration", func() { c, err = vt.decodeConfig(item.Value) })
	if panicked != nil {
		vt.onPanic(panicked)
		return nil, panicked
	}
	return c, err
}

// withItem returns f after one change to a target's record. A target whose
// record can't be decoded is removed.
func (vt *viewTracker) withItem(f model.Fleet, item watch.Item) model.Fleet {
	id := strings.TrimPrefix(item.Key, platform.TargetPrefix)
	if item.Removed {
		event.Info(vt.log, event.TargetGone, zap.String("target", id))
		return f.Without(id)
	}
	t, err := vt.target(item)
	if err != nil {
		vt.leaveOut(item, err)
		return f.Without(id)
	}
	if old, ok := f.Targets[id]; !ok || old.Leaving != t.Leaving || old.StartTime != t.StartTime {
		event.Info(vt.log, event.TargetSeen, zap.String("target", id), zap.String("service", t.Service),
			zap.String("address", t.Addr), zap.Bool("leaving", t.Leaving))
	}
	return f.WithTarget(t)
}

// expireTargets removes the targets whose records have been missing for too
// long.
func (vt *viewTracker) expireTargets(now clock.Milli) {
	if _, isDue := vt.view.Load().Fleet.WithoutExpired(now); isDue {
		vt.update(func(v *model.View) {
			v.IsLate = true
			v.Fleet, _ = v.Fleet.WithoutExpired(now)
		})
	}
}
