package proxy

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

const (
	// storeDialTimeout limits connecting to the store, storeListTimeout reading
	// one page of a list.
	storeDialTimeout = 500 * clock.Millisecond
	storeListTimeout = 4 * clock.Second
	// storeIdleTimeout is how long an idle connection to the store is kept.
	storeIdleTimeout = 20 * clock.Second
	// maxStoreBodyBytes limits the body of one answer of the store.
	maxStoreBodyBytes = 8 << 20
)

// storeClient reads the platform's store for the follower.
type storeClient struct {
	addr string
	// watchMargin is how much longer than requested a watch may take before the
	// store counts as unreachable.
	watchMargin clock.Milli
	// boot reads the clock of [watch.Page.SentAt].
	boot   func() clock.Milli
	client *http1.Client
}

// storeRead is one attempt at a read.
type storeRead struct {
	op  string
	uri string
	// limit is how long the answer may take.
	limit clock.Milli
	// fresh asks for a new connection.
	fresh bool
}

func newStoreClient(addr string, timing watch.Timing, c clock.Clock, onPanic func(*rescue.Error)) *storeClient {
	return &storeClient{
		addr:        addr,
		watchMargin: timing.MaxRepeat,
		boot:        c.Boot,
		client: http1.NewClient(http1.ClientConfig{
			Clock:       c,
			DialTimeout: storeDialTimeout,
			IdleTimeout: storeIdleTimeout,
			MaxBody:     maxStoreBodyBytes,
			OnPanic:     onPanic,
		}),
	}
}

func (s *storeClient) source() watch.Source {
	return watch.Source{
		List:  s.list,
		Watch: s.watch,
	}
}

func (s *storeClient) list(ctx context.Context, r watch.ListRequest) (watch.Page, error) {
	op := "list " + r.Prefix
	sentAt := s.boot()
	a, err := s.get(ctx, storeRead{
		op:    op,
		uri:   platform.RangeURI(r.Prefix, r.After),
		limit: storeListTimeout,
		fresh: r.Fresh,
	})
	if err != nil {
		return watch.Page{}, err
	}
	return decodePage(op, a, sentAt, platform.DecodeRange)
}

func (s *storeClient) watch(ctx context.Context, r watch.ChangesRequest) (watch.Page, error) {
	op := "watch " + r.Prefix
	sentAt := s.boot()
	a, err := s.get(ctx, storeRead{
		op:    op,
		uri:   platform.WatchURI(r.Prefix, r.After, r.Wait),
		limit: r.Wait + s.watchMargin,
		fresh: r.Fresh,
	})
	if err != nil {
		return watch.Page{}, err
	}
	return decodePage(op, a, sentAt, platform.DecodeWatch)
}

// decodePage decodes the body of an answer. A body that can't be decoded is
// reported as if the store had not answered.
func decodePage(op string, a guard.Answer, sentAt clock.Milli, decode func([]byte) (watch.Page, error)) (watch.Page, error) {
	var page watch.Page
	var err error
	if panicked := rescue.Run("decode an answer of the store", func() { page, err = decode(a.Body) }); panicked != nil {
		err = panicked
	}
	if err != nil {
		return page, &watch.Error{
			Op:   op,
			Kind: watch.Unavailable,
			Err:  err,
		}
	}
	page.SentAt = sentAt
	return page, nil
}

// get sends a GET request and returns the answer if its status is 200.
// Otherwise the error is a [*watch.Error]; its kind says whether the store gave
// no answer, has dropped the history that a watch needs, or refused the
// request.
func (s *storeClient) get(ctx context.Context, r storeRead) (guard.Answer, error) {
	ctx, cancel := http1.WithTimeout(ctx, r.limit)
	defer cancel()
	a, err := s.client.Do(ctx, s.addr, &http1.Request{
		Method: fasthttp.MethodGet,
		Host:   s.addr,
		URI:    r.uri,
	}, http1.Options{
		Fresh: r.fresh,
	})
	kind := watch.Unavailable
	switch {
	case err != nil:
	case a.Status == fasthttp.StatusOK:
		return a, nil
	case a.Status == fasthttp.StatusGone:
		kind = watch.HistoryLost
		err = fmt.Errorf("the store has dropped the requested history")
	default:
		kind = watch.Rejected
		err = fmt.Errorf("status %d", a.Status)
	}
	return a, &watch.Error{
		Op:   r.op,
		Kind: kind,
		Err:  err,
	}
}
