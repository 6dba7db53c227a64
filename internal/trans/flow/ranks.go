package flow

import (
	"sync"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/fair"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// kindAsks is the kind of statements about the demand of client accounts.
const kindAsks = "asks"

// ranks orders requests by the demand of their client accounts. The two sides of a
// daemon share it. It is safe for concurrent use.
type ranks struct {
	mu     sync.Mutex
	ranker *fair.Ranker
	// version is that of the configuration whose accounts the ranker has.
	version uint64
	// statements is the scratch space of with.
	statements [fair.MaxStatements]fair.Statement
}

func newRanks() *ranks {
	return &ranks{
		ranker: fair.New(),
	}
}

// refresh passes the accounts of a new configuration to the ranker, and reports
// whether accounts are in force. k.mu must be held.
func (k *ranks) refresh(now clock.Milli, v *model.View) bool {
	if v.Config == nil || !v.Config.Accounts.InForce() {
		return false
	}
	if v.Config.Version > k.version {
		k.version = v.Config.Version
		k.ranker.SetAccounts(now, &v.Config.Accounts)
	}
	return true
}

// order returns the order of a caller's request, which is the hash where no client
// accounts are in force.
func (k *ranks) order(now clock.Milli, v *model.View, who identity, importance rules.Importance, hash uint64) uint64 {
	if who.account == nil {
		return hash
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.refresh(now, v) {
		return hash
	}
	return k.ranker.Order(now, who.account.Name, importance, hash)
}

// with returns fields with this daemon's statements, in place of any that they have.
func (k *ranks) with(now clock.Milli, v *model.View, fields []guard.Field) []guard.Field {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.refresh(now, v) {
		if s := k.ranker.Statements(now, k.statements[:0]); len(s) > 0 {
			return http1.WithField(fields, peer.HeaderAsks, peer.FormatAsks(s))
		}
	}
	if http1.Get(fields, peer.HeaderAsks) == "" {
		return fields
	}
	return http1.WithoutField(fields, peer.HeaderAsks)
}

// take adopts the statements in the fields of a message of another daemon, and returns
// the fields without them.
func (k *ranks) take(cfg *Config, fields []guard.Field) []guard.Field {
	value := http1.Get(fields, peer.HeaderAsks)
	if value == "" {
		return fields
	}
	fields = http1.WithoutField(fields, peer.HeaderAsks)
	statements, err := peer.ParseAsks(value)
	if err != nil {
		event.Warn(cfg.Log, event.Malformed, zap.Error(err))
		cfg.Metrics.StatementIgnored(kindAsks)
		return fields
	}
	now := cfg.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.refresh(now, cfg.View()) {
		return fields
	}
	for _, s := range statements {
		if !k.ranker.Learn(now, s) {
			cfg.Metrics.StatementIgnored(kindAsks)
		}
	}
	return fields
}
