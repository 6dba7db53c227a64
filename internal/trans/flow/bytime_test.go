package flow

import (
	"strconv"
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// viewOf returns a view of a region of n hosts, with upload routes or without.
func viewOf(n int, upload bool) *model.View {
	v := &model.View{
		Config: &model.Config{
			Hosts: map[string][]model.Route{
				"h": {
					{
						Upload: upload,
					},
				},
			},
		},
		Fleet: model.Fleet{
			Targets: make(map[string]model.Target),
		},
	}
	for i := range n {
		id := strconv.Itoa(i)
		v.Fleet.Targets[id] = model.Target{
			ID:      id,
			Service: "s",
			Addr:    "10.0.0." + id + ":80",
			Centre:  "c",
		}
	}
	return v
}

// Guards against a way of choosing that stays after the configuration that called for
// it, and against daemons of a large fleet that fill the link together.
func TestConfigurationSetsTheWayOfChoosing(t *testing.T) {
	self := &Self{
		Region: "r",
		Centres: map[string]string{
			"c": "r",
		},
	}
	link := pick.NewBucket(linkBytesPerSecond, linkBurstBytes)
	s := newService(&Config{
		RetryWindow: clock.Second,
		Self:        *self,
	}, "s", link, 0, 1)
	for i, tt := range []struct {
		hosts  int
		upload bool
		burst  int64
	}{
		{
			hosts: 390,
			burst: linkBurstBytes,
		},
		{
			hosts:  36,
			upload: true,
			burst:  linkBurstBytes,
		},
		{
			hosts:  390,
			upload: true,
			burst:  minLinkBurstBytes,
		},
		{
			hosts: 390,
			burst: linkBurstBytes,
		},
	} {
		now := clock.Milli(i) * clock.Minute
		s.refresh(now, viewOf(tt.hosts, tt.upload), "s", self)
		if s.byTime != tt.upload {
			t.Errorf("step %d: by time %t, want %t", i, s.byTime, tt.upload)
		}
		if got := link.Left(now + clock.Minute); got != tt.burst {
			t.Errorf("step %d: burst of %d bytes, want %d", i, got, tt.burst)
		}
	}
}

// Guards against a link budget that is exceeded because answers are larger than
// expected, and against a target that seems quick because it fails at once.
func TestAnswersAreCharged(t *testing.T) {
	link := pick.NewBucket(0, 100_000)
	s := newService(&Config{
		RetryWindow: clock.Second,
	}, "s", link, 0, 1)
	s.byTime = true
	c := &call{
		r: &http1.Request{
			Body: make([]byte, 1000),
		},
		route: &model.Route{
			Name: "r",
		},
	}
	q := pick.Query{}
	s.describe(0, c, &q)
	c.linkBytes = q.Bytes
	link.Take(0, q.Bytes, 0)
	a := &guard.Answer{
		Status: fasthttp.StatusOK,
		Body:   make([]byte, 50_000),
	}
	if got := s.recordAnswer(0, c, a, peer.Feedback{}); got != pick.Done {
		t.Errorf("a success has the outcome %v", got)
	}
	if got := link.Left(0); got != 100_000-51_000-2*headBytes {
		t.Errorf("%d bytes left", got)
	}
	if s.describe(0, c, &q); q.Bytes < 50_000 {
		t.Errorf("%d bytes expected after an answer of 50,000", q.Bytes)
	}
	a.Status = fasthttp.StatusInternalServerError
	if got := s.recordAnswer(0, c, a, peer.Feedback{}); got != pick.Failed {
		t.Errorf("a failure of the target has the outcome %v", got)
	}
	if got := s.recordAnswer(0, c, a, peer.Feedback{
		Reason: peer.ReasonCallFailed,
	}); got != pick.Done {
		t.Errorf("a failure of a call of the target has the outcome %v", got)
	}
}
