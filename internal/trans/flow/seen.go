package flow

import (
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// withSeen returns fields with the revision that this daemon knows, in place of
// any that they have.
func (c *Config) withSeen(fields []guard.Field) []guard.Field {
	if revision := c.Seen(); revision > 0 {
		return http1.WithField(fields, peer.HeaderSeen, peer.FormatSeen(revision))
	}
	return http1.WithoutField(fields, peer.HeaderSeen)
}

// takeEnds returns the time until the daemon that sent a message with the fields
// ends, 0 if it does not stop, and the fields without it.
func (c *Config) takeEnds(fields []guard.Field) (clock.Milli, []guard.Field) {
	value := http1.Get(fields, peer.HeaderEnds)
	if value == "" {
		return 0, fields
	}
	left, err := peer.ParseEnds(value)
	if err != nil {
		event.Warn(c.Log, event.Malformed, zap.Error(err))
	}
	return left, http1.WithoutField(fields, peer.HeaderEnds)
}

// withProof returns fields with this daemon's proof that its configuration is the
// newest, if it has one.
func (c *Config) withProof(fields []guard.Field) []guard.Field {
	f, ok := c.Proof()
	if !ok {
		return fields
	}
	return http1.WithField(fields, peer.HeaderFresh, f.String())
}

// askProof returns the instant from which the age of a proof in an answer counts. It
// must be called before the request is sent.
func (c *Config) askProof() clock.Milli {
	if _, ok := c.Proof(); !ok {
		return 0
	}
	return c.Clock.Boot()
}

// takeProof reports the proof in the fields of an answer of another daemon, which was
// asked for at an instant, and returns the fields without it.
func (c *Config) takeProof(askedAt clock.Milli, fields []guard.Field) []guard.Field {
	value := http1.Get(fields, peer.HeaderFresh)
	if value == "" {
		return fields
	}
	f, err := peer.ParseFresh(value)
	switch {
	case err != nil:
		event.Warn(c.Log, event.Malformed, zap.Error(err))
	case askedAt > 0:
		c.OnProof(f, askedAt)
	}
	return http1.WithoutField(fields, peer.HeaderFresh)
}

// takeSeen reports the revision in the fields of a message of another daemon and
// returns the fields without it.
func (c *Config) takeSeen(fields []guard.Field) []guard.Field {
	value := http1.Get(fields, peer.HeaderSeen)
	if value == "" {
		return fields
	}
	revision, err := peer.ParseSeen(value)
	if err != nil {
		event.Warn(c.Log, event.Malformed, zap.Error(err))
	} else {
		c.OnSeen(revision)
	}
	return http1.WithoutField(fields, peer.HeaderSeen)
}
