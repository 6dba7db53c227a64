package link

import (
	"net"
	"net/rpc"
	"testing"
	"time"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/pkg/clock"
)

// Bytes is the service that BenchmarkRoundTrip and BenchmarkOpen call.
type Bytes struct{}

// Echo answers with its argument.
func (Bytes) Echo(args []byte, reply *[]byte) error {
	*reply = args
	return nil
}

func newBenchListener(b *testing.B, name string, receiver any) *Listener {
	b.Helper()
	l, err := Listen(ListenConfig{
		Addr: loopback,
		Keys: [][]byte{fleetKey},
		Receivers: map[string]any{
			name: receiver,
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	return l
}

// newBareClient returns a client of the service Bytes over plain net/rpc on
// loopback, as the baseline for the cost of this package.
func newBareClient(b *testing.B) *rpc.Client {
	b.Helper()
	ln, err := net.Listen("tcp4", loopback)
	if err != nil {
		b.Fatal(err)
	}
	server := rpc.NewServer()
	if err := server.Register(Bytes{}); err != nil {
		b.Fatal(err)
	}
	go func() {
		if c, err := ln.Accept(); err == nil {
			server.ServeConn(c)
		}
	}()
	client, err := rpc.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _, _ = client.Close(), ln.Close() })
	return client
}

// BenchmarkRoundTrip compares a call with 1 kB through this package with one
// through plain net/rpc. The calls alternate in one run, and the benchmark
// reports the ratio of their times.
func BenchmarkRoundTrip(b *testing.B) {
	l := newBenchListener(b, "Bytes", Bytes{})
	links, bare := newLinks(b, LinksConfig{}), newBareClient(b)
	args, reply := make([]byte, 1024), []byte(nil)
	var linkTime, bareTime time.Duration
	for b.Loop() {
		start := time.Now()
		if err := links.Call(l.Addr(), "Bytes.Echo", args, &reply, clock.Minute); err != nil {
			b.Fatal(err)
		}
		middle := time.Now()
		if err := bare.Call("Bytes.Echo", args, &reply); err != nil {
			b.Fatal(err)
		}
		linkTime += middle.Sub(start)
		bareTime += time.Since(middle)
	}
	n := float64(b.N)
	b.ReportMetric(float64(linkTime.Nanoseconds())/n, "link-ns/op")
	b.ReportMetric(float64(bareTime.Nanoseconds())/n, "bare-ns/op")
	b.ReportMetric(float64(linkTime)/float64(bareTime), "ratio")
}

// BenchmarkOpen measures a call that must first open its connection and perform
// the handshake.
func BenchmarkOpen(b *testing.B) {
	l := newBenchListener(b, "Bytes", Bytes{})
	links := newLinks(b, LinksConfig{})
	for b.Loop() {
		if err := links.Call(l.Addr(), pingMethod, struct{}{}, nil, clock.Minute); err != nil {
			b.Fatal(err)
		}
		links.closeIdle(clock.Hour)
	}
	in, out := links.Bytes()
	b.ReportMetric(float64(in+out)/float64(b.N), "bytes/op")
}

// Control is the service of BenchmarkControl.
type Control struct{}

// Receive discards a message.
func (Control) Receive(agent.Message, *struct{}) error { return nil }

// BenchmarkControl measures a small message between daemons: the time of the
// call and the bytes in both directions.
func BenchmarkControl(b *testing.B) {
	l := newBenchListener(b, "Control", Control{})
	links := newLinks(b, LinksConfig{})
	m := agent.Message{
		Incarnation: 1 << 60,
		Member: member.Part{
			Probe: &member.Probe{
				Kind: member.Ping,
				Seq:  1 << 20,
			},
			Root: 1 << 60,
		},
	}
	for b.Loop() {
		if err := links.Call(l.Addr(), "Control.Receive", m, nil, clock.Minute); err != nil {
			b.Fatal(err)
		}
	}
	in, out := links.Bytes()
	b.ReportMetric(float64(in+out)/float64(b.N), "bytes/op")
}
