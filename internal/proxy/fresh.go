package proxy

import (
	"context"
	mrand "math/rand/v2"
	"sync/atomic"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

const (
	// proofWait is how long the store may hold a read that asks only whether the
	// configuration has changed.
	proofWait = clock.Millisecond
	// minProofPause is the time between two such reads. It doubles with each read
	// that brings no proof, up to maxProofPause.
	minProofPause = 300 * clock.Millisecond
	maxProofPause = 1200 * clock.Millisecond
)

// freshness keeps the proof that the configuration in force is the newest, so that a
// withdrawn key is refused in time by a daemon that cannot read the store. Proofs come
// from all reads of the store and with the answers of other daemons. Only while both
// are missing it reads the store for a proof alone.
//
// tick must be called from one goroutine.
type freshness struct {
	*acct.Freshness
	clock clock.Clock
	log   *zap.Logger
	// version returns the version of the configuration in force if client accounts
	// need a proof of it, and 0 otherwise.
	version func() uint64
	// read asks the store for changes and applies them.
	read func(fresh bool)

	// pause is the time between reads, lastRead the instant of the last one on
	// Clock.Now, and reading is set while one is in progress.
	pause    clock.Milli
	lastRead clock.Milli
	reading  atomic.Int32
	// isAway is set while the store is being listed anew, which brings a proof.
	isAway atomic.Bool
	// refusing is set while keys are refused.
	refusing bool
}

// isNeeded reports whether the configuration in force has keys that may be withdrawn.
func (f *freshness) isNeeded() bool { return f.InForce() && f.version() > 0 }

// isTrusted reports whether keys may be let in now.
func (f *freshness) isTrusted() bool { return f.IsTrusted(f.clock.Boot()) }

// proof returns the proof for other daemons, and false if there is none or none is
// needed.
func (f *freshness) proof() (peer.Fresh, bool) {
	if !f.isNeeded() {
		return peer.Fresh{}, false
	}
	age, ok := f.Age(f.clock.Boot())
	return peer.Fresh{
		Version: f.version(),
		Age:     age,
	}, ok
}

// onProof records the proof of another daemon, which was asked for at an instant on
// Clock.Boot. It says nothing of another version than the one in force here.
func (f *freshness) onProof(p peer.Fresh, askedAt clock.Milli) {
	if p.Version > 0 && p.Version == f.version() {
		f.Prove(askedAt - p.Age)
	}
}

// tick reads the store if a proof is due, and logs when keys begin or cease to be
// refused.
func (f *freshness) tick(now clock.Milli) {
	if !f.isNeeded() {
		return
	}
	boot := f.clock.Boot()
	f.logChange(boot)
	if !f.IsDue(boot) {
		f.pause = minProofPause
		return
	}
	if f.isAway.Load() || now-f.lastRead < f.pause || f.reading.Load() > 1 {
		return
	}
	isRepeat := f.pause > minProofPause
	f.lastRead = now
	f.pause = min(maxProofPause, f.pause*2)
	f.reading.Add(1)
	go func() {
		defer f.reading.Add(-1)
		f.read(isRepeat)
	}()
}

// logChange logs when keys begin or cease to be refused.
func (f *freshness) logChange(boot clock.Milli) {
	refusing := !f.IsTrusted(boot)
	if refusing == f.refusing {
		return
	}
	f.refusing = refusing
	age, _ := f.Age(boot)
	if refusing {
		event.Warn(f.log, event.KeysRefused, zap.Int64("age", int64(age)))
		return
	}
	event.Info(f.log, event.KeysAccepted, zap.Int64("age", int64(age)))
}

// newFreshness returns the freshness of the daemon's view.
func (d *Daemon) newFreshness() *freshness {
	return &freshness{
		Freshness: acct.NewFreshness(d.settings.revokeTime(), mrand.Float64),
		clock:     d.clock,
		log:       d.log,
		pause:     minProofPause,
		version: func() uint64 {
			c := d.viewTracker.view.Load().Config
			if c == nil || !c.Accounts.InForce() {
				return 0
			}
			return c.Version
		},
		read: func(fresh bool) { d.run("read a proof", func() { d.readProof(fresh) }) },
	}
}

// readProof asks the store whether the configuration has changed, and applies the
// change.
func (d *Daemon) readProof(fresh bool) {
	page, err := d.store.watch(context.Background(), watch.ChangesRequest{
		Prefix: platform.ConfigKey,
		After:  d.follower.Revision(),
		Wait:   proofWait,
		Fresh:  fresh,
	})
	if err != nil {
		d.meter.count("store_reads", "outcome", "proof_failed")
		return
	}
	d.meter.count("store_reads", "outcome", "proof_answered")
	if len(page.Items) > 0 {
		d.viewTracker.applyConfig(page.Items)
	}
	d.prove(page.SentAt)
}

// prove records that the configuration was the newest at an instant on Clock.Boot,
// unless a newer one could not be read.
func (d *Daemon) prove(at clock.Milli) {
	if d.viewTracker.isConfigKnown() {
		d.freshness.Prove(at)
	}
}
