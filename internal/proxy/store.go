package proxy

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

const (
	// storeDial and storeRead bound connecting to the store and one list.
	storeDial = clock.Second
	storeRead = 4 * clock.Second
	// watchSlack is how much longer than asked for a watch may last before it
	// counts as silent.
	watchSlack = 2 * clock.Second
	// storeIdle is the time after which a connection to the store is closed.
	storeIdle = 20 * clock.Second
	// storeBody bounds an answer of the store, in bytes.
	storeBody = 8 << 20
)

// store makes the reads of the follower.
type store struct {
	addr   string
	client *http1.Client
}

func newStore(addr string, c clock.Clock) *store {
	return &store{
		addr: addr,
		client: http1.NewClient(http1.ClientConfig{
			Clock:       c,
			DialTimeout: storeDial,
			IdleTimeout: storeIdle,
			MaxBody:     storeBody,
		}),
	}
}

func (s *store) source() watch.Source {
	return watch.Source{
		List:  s.list,
		Watch: s.watch,
	}
}

func (s *store) list(ctx context.Context, prefix, after string) (watch.Page, error) {
	op := "list " + prefix
	a, err := s.get(ctx, op, platform.RangeURI(prefix, after), storeRead)
	if err != nil {
		return watch.Page{}, err
	}
	return decoded(op, a, platform.DecodeRange)
}

func (s *store) watch(ctx context.Context, prefix string, after int64, wait clock.Milli) (watch.Page, error) {
	op := "watch " + prefix
	a, err := s.get(ctx, op, platform.WatchURI(prefix, after, wait), wait+watchSlack)
	if err != nil {
		return watch.Page{}, err
	}
	return decoded(op, a, platform.DecodeWatch)
}

// decoded reads the body of an answer. One that cannot be read is worth no
// more than none.
func decoded(op string, a guard.Answer, decode func([]byte) (watch.Page, error)) (watch.Page, error) {
	page, err := decode(a.Body)
	if err != nil {
		return page, &watch.Error{
			Op:   op,
			Kind: watch.Away,
			Err:  err,
		}
	}
	return page, nil
}

func (s *store) get(ctx context.Context, op, uri string, wait clock.Milli) (guard.Answer, error) {
	ctx, cancel := http1.WithTimeout(ctx, wait)
	defer cancel()
	a, err := s.client.Do(ctx, s.addr, &http1.Request{
		Method: fasthttp.MethodGet,
		Host:   s.addr,
		URI:    uri,
	}, http1.Options{})
	kind := watch.Away
	switch {
	case err != nil:
	case a.Status == fasthttp.StatusOK:
		return a, nil
	case a.Status == fasthttp.StatusGone:
		kind = watch.Lost
		err = fmt.Errorf("the history is gone")
	default:
		kind = watch.Busy
		err = fmt.Errorf("status %d", a.Status)
	}
	return a, &watch.Error{
		Op:   op,
		Kind: kind,
		Err:  err,
	}
}
