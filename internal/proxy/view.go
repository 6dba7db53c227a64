package proxy

import (
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

// beliefs hold what the store's records say. The follower writes to them;
// traffic reads an immutable view.
type beliefs struct {
	log *zap.Logger
	// changed is told of each new view.
	changed func(*model.View)

	mu   sync.Mutex
	view atomic.Pointer[model.View]
}

func newBeliefs(log *zap.Logger, changed func(*model.View)) *beliefs {
	b := &beliefs{
		log:     log,
		changed: changed,
	}
	b.view.Store(&model.View{})
	return b
}

// update publishes the view that change makes of the present one.
func (b *beliefs) update(change func(v *model.View)) {
	b.mu.Lock()
	next := *b.view.Load()
	change(&next)
	b.view.Store(&next)
	b.mu.Unlock()
	b.changed(&next)
}

// list takes in all that the store holds.
func (b *beliefs) list(now clock.Milli, items []watch.Item, wasAway bool) {
	targets := make([]model.Target, 0, len(items))
	for _, item := range items {
		if !strings.HasPrefix(item.Key, platform.TargetPrefix) {
			continue
		}
		t, err := platform.DecodeTarget(item.Key, item.Value)
		if err != nil {
			event.Warn(b.log, event.RecordUnreadable, zap.String("key", item.Key), zap.Error(err))
			continue
		}
		targets = append(targets, t)
	}
	b.update(func(v *model.View) {
		v.Config = b.newest(v.Config, items)
		v.Fleet = v.Fleet.WithList(now, targets, wasAway)
	})
	event.Info(b.log, event.TargetsListed, zap.Int("targets", len(targets)), zap.Bool("away", wasAway))
}

// change takes in what has changed.
func (b *beliefs) change(_ clock.Milli, items []watch.Item) {
	b.update(func(v *model.View) {
		v.Config = b.newest(v.Config, items)
		for _, item := range items {
			if strings.HasPrefix(item.Key, platform.TargetPrefix) {
				v.Fleet = b.withItem(v.Fleet, item)
			}
		}
	})
}

// newest returns the newest configuration among items, or the present one. One
// that cannot be read changes nothing.
func (b *beliefs) newest(present *model.Config, items []watch.Item) *model.Config {
	for _, item := range items {
		if item.Key != platform.ConfigKey || item.Removed {
			continue
		}
		c, err := platform.DecodeConfig(item.Value)
		if err != nil {
			event.Warn(b.log, event.ConfigRefused, zap.Int64("revision", item.Revision), zap.Error(err))
			continue
		}
		if present != nil && c.Version <= present.Version {
			continue
		}
		present = c
		event.Info(b.log, event.ConfigApplied, zap.Uint64("version", c.Version), zap.Int64("revision", item.Revision))
	}
	return present
}

// withItem applies one change. A record that cannot be read names no target.
func (b *beliefs) withItem(f model.Fleet, item watch.Item) model.Fleet {
	id := strings.TrimPrefix(item.Key, platform.TargetPrefix)
	if item.Removed {
		event.Info(b.log, event.TargetGone, zap.String("target", id))
		return f.Without(id)
	}
	t, err := platform.DecodeTarget(item.Key, item.Value)
	if err != nil {
		event.Warn(b.log, event.RecordUnreadable, zap.String("key", item.Key), zap.Error(err))
		return f.Without(id)
	}
	if old, ok := f.Targets[id]; !ok || old.Leaving != t.Leaving || old.StartTime != t.StartTime {
		event.Info(b.log, event.TargetSeen, zap.String("target", id), zap.String("service", t.Service),
			zap.String("address", t.Addr), zap.Bool("leaving", t.Leaving))
	}
	return f.WithTarget(t)
}

// forget drops the targets whose records have been missing for too long.
func (b *beliefs) forget(now clock.Milli) {
	b.mu.Lock()
	_, due := b.view.Load().Fleet.WithoutExpired(now)
	b.mu.Unlock()
	if due {
		b.update(func(v *model.View) { v.Fleet, _ = v.Fleet.WithoutExpired(now) })
	}
}
