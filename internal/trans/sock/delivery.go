package sock

import (
	"net"

	"siskinswitch.example/siskin/pkg/clock"
)

// lostProbes is the number of unanswered probes of a closed window from which the
// peer owes an answer. A single one may just be on its way.
const lostProbes = 2

// Delivery is what the system knows of the bytes sent on a connection.
type Delivery struct {
	// IsOwed says that the peer has yet to acknowledge bytes that were sent, or
	// probes of its closed window. Bytes that wait for the window to open are not
	// sent, so a peer that reads nothing but acknowledges probes owes nothing.
	IsOwed bool
	// Acked is the number of acknowledged bytes, Segments that of received segments.
	// Either changes with each sign of life of the peer.
	Acked    uint64
	Segments uint32
	// Resend is the present time until unacknowledged bytes are sent again. It
	// doubles each time.
	Resend clock.Milli
}

// ReadDelivery returns the state of the bytes sent on c. It returns false if c has no
// TCP socket, or no open one.
func ReadDelivery(c net.Conn) (Delivery, bool) {
	info, ok := readInfo(c)
	if !ok {
		return Delivery{}, false
	}
	return Delivery{
		IsOwed:   info.Unacked > 0 || info.Probes >= lostProbes,
		Acked:    info.Bytes_acked,
		Segments: info.Segs_in,
		Resend:   clock.Milli(info.Rto / 1000),
	}, true
}

// Silence judges from successive deliveries of one connection whether its peer is
// silent: it owes acknowledgements and shows no sign of life. A device between the
// two ends may have dropped its state of the connection. A peer that is alive and
// reads nothing is not silent, however long that lasts. The zero value is ready
// for use.
type Silence struct {
	last  Delivery
	since clock.Milli
}

// resendPercent is the least time without a sign of life, as a share of the present
// time until bytes are sent again. A peer whose window is closed is only heard after
// that time.
const resendPercent = 125

// Observe records the delivery at now and reports whether the peer has been silent
// for limit.
func (s *Silence) Observe(now clock.Milli, d Delivery, limit clock.Milli) bool {
	isHeard := d.Acked != s.last.Acked || d.Segments != s.last.Segments
	if !d.IsOwed || !s.last.IsOwed || isHeard {
		s.since = now
	}
	s.last = d
	return now-s.since >= max(limit, d.Resend*resendPercent/100)
}
