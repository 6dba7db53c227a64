package link

import (
	"errors"
	"testing"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/pkg/clock"
)

// FuzzReceive passes every input that decodes as a message to the code that
// receives it, as if it came from a faulty daemon with the fleet key. The code
// must not panic. The seeds are in testdata.
func FuzzReceive(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m agent.Message
		if wire.Unmarshal(data, &m) == nil {
			receiveTwice(m)
		}
		var h guard.Handover
		if wire.Unmarshal(data, &h) == nil {
			_ = guard.NewHandoverStore(guard.HandoverStoreConfig{}).Import(0, h)
		}
	})
}

// receiveTwice passes m to a new agent from each of two peers, and advances its
// time after each.
func receiveTwice(m agent.Message) {
	a := agent.New(agent.Config{
		Self: member.Peer{
			Host:   "127.0.0.1:1",
			Region: "a",
			Centre: "b",
		},
		Incarnation: 1,
		Send:        func(string, agent.Message) {},
		Check: func([]byte) (agent.Meta, error) {
			return agent.Meta{}, errors.New("not a document")
		},
		Diff:  config.Diff,
		Apply: config.Apply,
		Read:  func(spread.ReadKind, uint64) {},
	})
	now := clock.Milli(0)
	for _, from := range []string{"127.0.0.2:1", "127.0.0.3:1"} {
		a.Receive(now, from, m)
		for range 30 {
			now += agent.TickInterval
			a.Tick(now)
		}
	}
}
