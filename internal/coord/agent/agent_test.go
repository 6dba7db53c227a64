package agent

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/internal/coord/leave"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

func peer(i int) member.Peer {
	return member.Peer{
		Host:   fmt.Sprintf("10.0.0.%d:1", i),
		Region: "r",
		Centre: "c",
	}
}

// newAgent returns an agent among three hosts. Its configuration values are
// single digits, which are also their versions.
func newAgent(publish func(Snapshot)) *Agent {
	peers := []member.Peer{peer(0), peer(1), peer(2)}
	return New(Config{
		Self:        peers[0],
		Incarnation: 5,
		Peers:       peers,
		Send:        func(string, Message) {},
		Publish:     publish,
		Check: func(data []byte) (Meta, error) {
			m := Meta{
				Peers: peers,
			}
			if len(data) != 1 || data[0] < '1' || data[0] > '9' {
				return m, errors.New("no digit")
			}
			m.Version = uint64(data[0] - '0')
			m.Digest = string(data)
			return m, nil
		},
		Diff:  func(_, data []byte) ([]byte, error) { return data, nil },
		Apply: func(_, delta []byte) ([]byte, error) { return delta, nil },
		Read:  func(spread.ReadKind, uint64) {},
	})
}

// alive returns a message of peer 1, announcing that a process with an
// incarnation is alive there.
func alive(incarnation uint64) Message {
	return Message{
		Incarnation: incarnation,
		Member: member.Part{
			Records: []member.Record{
				{
					Host:        peer(1).Host,
					Incarnation: incarnation,
					Revision:    incarnation,
					State:       member.Alive,
				},
			},
		},
	}
}

func TestLeaving(t *testing.T) {
	host := peer(1).Host
	listed := []ListedHost{
		{
			Host:    host,
			Leaving: true,
		},
	}
	mark := Message{
		Marks: []leave.Mark{
			{
				Host:        host,
				Incarnation: 7,
			},
		},
	}
	tests := map[string]struct {
		run  func(a *Agent)
		want LeavingSource
	}{
		"nothing known": {
			run: func(a *Agent) { a.UpdateHosts(1, nil) },
		},
		"listed": {
			run:  func(a *Agent) { a.UpdateHosts(1, listed) },
			want: ListedLeaving,
		},
		"no longer listed": {
			run: func(a *Agent) {
				a.UpdateHosts(1, listed)
				a.UpdateHosts(2, nil)
			},
		},
		"still listed, but a later process runs there": {
			run: func(a *Agent) {
				a.UpdateHosts(1, listed)
				a.Receive(2, host, alive(8))
				a.UpdateHosts(3, listed)
			},
		},
		"marked and listed": {
			run: func(a *Agent) {
				a.UpdateHosts(1, listed)
				a.Receive(2, host, mark)
			},
			want: MarkedLeaving,
		},
		"an earlier process was marked": {
			run: func(a *Agent) {
				a.Receive(2, host, mark)
				a.Receive(3, host, alive(8))
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAgent(nil)
			a.Receive(0, host, alive(7))
			tt.run(a)
			if got := a.IsLeaving(host); got != tt.want {
				t.Errorf("leaving source is %d, want %d", got, tt.want)
			}
			if got := a.Snapshot(9).Leaving[host]; got != tt.want {
				t.Errorf("leaving source in the snapshot is %d, want %d", got, tt.want)
			}
		})
	}
}

// A stream of messages between ticks must not keep the agent from its periodic
// work.
func TestMessagesDriveTheWork(t *testing.T) {
	pings := 0
	a := newAgent(nil)
	a.cfg.Send = func(_ string, m Message) {
		if isPing(m) {
			pings++
		}
	}
	for now := clock.Milli(0); now < 10*clock.Second; now += 10 {
		a.Receive(now, peer(1).Host, alive(7))
	}
	if pings < 9 {
		t.Errorf("%d pings in ten seconds, want at least 9", pings)
	}
}

// A ping with a different digest of the marks is answered with all marks.
func TestMarksAreCompared(t *testing.T) {
	a := newAgent(nil)
	a.Receive(0, peer(1).Host, alive(7))
	a.Leave(0)
	for now := clock.Milli(0); a.leaving.HasUpdates(); now += TickInterval {
		a.Tick(now)
	}
	var got []leave.Mark
	a.cfg.Send = func(_ string, m Message) { got = append(got, m.Marks...) }
	ping := Message{
		Member: member.Part{
			Probe: &member.Probe{
				Kind: member.Ping,
			},
		},
		MarksDigest: a.leaving.Digest(),
	}
	a.Receive(clock.Minute, peer(1).Host, ping)
	if len(got) > 0 {
		t.Fatalf("sent %v for the same digest", got)
	}
	ping.MarksDigest++
	a.Receive(clock.Minute, peer(1).Host, ping)
	if len(got) != 1 || got[0].Host != peer(0).Host {
		t.Errorf("sent %v, want the own mark", got)
	}
}

// A new agent becomes ready only after the service and enough peers have
// answered or the wait for them has ended, and never without a value.
func TestReady(t *testing.T) {
	tests := map[string]struct {
		run  func(a *Agent)
		wait clock.Milli
		want bool
	}{
		"service and peer": {
			run: func(a *Agent) {
				a.ReadDone(1, spread.Get, []byte("1"), nil)
				a.Receive(1, peer(1).Host, Message{})
				a.Receive(1, peer(2).Host, Message{})
			},
			want: true,
		},
		"service and one peer of two": {
			run: func(a *Agent) {
				a.ReadDone(1, spread.Get, []byte("1"), nil)
				a.Receive(1, peer(1).Host, Message{})
			},
			wait: clock.Second,
		},
		"service only, still waiting for peers": {
			run:  func(a *Agent) { a.ReadDone(1, spread.Get, []byte("1"), nil) },
			wait: clock.Second,
		},
		"service only, wait for peers is over": {
			run:  func(a *Agent) { a.ReadDone(1, spread.Get, []byte("1"), nil) },
			wait: 2 * clock.Second,
			want: true,
		},
		"service is behind a peer": {
			run: func(a *Agent) {
				a.ReadDone(1, spread.Get, []byte("1"), nil)
				a.Receive(1, peer(1).Host, Message{
					Spread: spread.Part{
						Offer: &spread.Offer{
							Version: 3,
							Digest:  "3",
						},
					},
				})
			},
		},
		"peer only, still waiting for the service": {
			run: func(a *Agent) {
				a.Receive(1, peer(1).Host, Message{
					Spread: spread.Part{
						Transfer: &spread.Transfer{
							Version: 1,
							Digest:  "1",
							Data:    []byte("1"),
						},
					},
				})
			},
			wait: clock.Second,
		},
		"no value": {
			run: func(a *Agent) {
				a.ReadDone(1, spread.Get, nil, errors.New("down"))
				a.Receive(1, peer(1).Host, Message{})
			},
			wait: 5 * clock.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var last Snapshot
			a := newAgent(func(s Snapshot) { last = s })
			a.Tick(0)
			tt.run(a)
			for now := clock.Milli(2); now <= 2+tt.wait; now += TickInterval {
				a.Tick(now)
			}
			if a.IsReady() != tt.want || last.Ready != tt.want {
				t.Errorf("ready is %t, published %t, want %t", a.IsReady(), last.Ready, tt.want)
			}
		})
	}
}

// No message, whatever its content, makes an agent panic, go back to an
// earlier version or send lists beyond their limits.
func TestOddMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAgent(nil)
		a.cfg.Send = func(_ string, m Message) {
			if len(m.Member.Records) > member.MaxRecords+member.MaxUpdates+2 || len(m.Marks) > leave.MaxMarks || len(m.Member.Pull) > member.Buckets {
				t.Fatalf("message exceeds its limits: %d records", len(m.Member.Records))
			}
		}
		now := clock.Milli(0)
		version := uint64(0)
		for range 20 {
			now += clock.Milli(rapid.IntRange(0, 3000).Draw(t, "wait"))
			m := rapid.Make[Message]().Draw(t, "message")
			a.Receive(now, rapid.SampledFrom([]string{peer(0).Host, peer(1).Host, "stranger"}).Draw(t, "from"), m)
			a.Tick(now)
			if got := a.Current().Version; got < version {
				t.Fatalf("version went from %d to %d", version, got)
			}
			version = a.Current().Version
		}
	})
}

// TestRefutedEventSaysWhat checks that the event about a refuted record tells
// operators what the record said.
func TestRefutedEventSaysWhat(t *testing.T) {
	a := newAgent(nil)
	var details []string
	a.cfg.Report = func(e Event) {
		if e.Kind == Refuted {
			details = append(details, e.Detail)
		}
	}
	self := peer(0).Host
	a.Receive(1, peer(1).Host, Message{
		Incarnation: 7,
		Member: member.Part{
			Records: []member.Record{
				{
					Host:        self,
					Incarnation: 5,
					Revision:    9,
					State:       member.Suspect,
				},
			},
		},
	})
	if want := "called suspect, incarnation 5"; len(details) != 1 || details[0] != want {
		t.Errorf("details %q, want one: %q", details, want)
	}
}
