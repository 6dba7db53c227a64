package source

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	opRead  = "read value"
	opWatch = "watch value"
)

// Read reads the current value of the configuration service.
func (c *Client) Read(ctx context.Context) (Value, error) {
	x := c.exchanger(ctx, c.cfg.StoreAddr)
	defer x.close()
	r, err := x.get(opRead, "/value", c.cfg.Timeout)
	if err != nil {
		return Value{}, err
	}
	return r.value(opRead)
}

// Watch makes one long-poll request. It returns as soon as the version number of
// the value differs from after. If the wait ends without a new value, it
// returns a Value with the ETag after and no data.
func (c *Client) Watch(ctx context.Context, after string) (Value, error) {
	x := c.exchanger(ctx, c.cfg.StoreAddr)
	defer x.close()
	query := url.Values{
		"after": {after},
		"wait":  {strconv.FormatInt(int64(c.cfg.WatchWait), 10)},
	}
	r, err := x.get(opWatch, "/value?"+query.Encode(), c.cfg.WatchWait+c.cfg.Timeout)
	if err != nil {
		return Value{}, err
	}
	if r.status == fasthttp.StatusNotModified {
		return Value{
			ETag: after,
		}, nil
	}
	return r.value(opWatch)
}

// value extracts the published value from an answer.
func (r reply) value(op string) (Value, error) {
	if err := r.check(op); err != nil {
		return Value{}, err
	}
	etag := strings.Trim(r.etag, `"`)
	if etag == "" {
		return Value{}, &Error{
			Op:   op,
			Kind: BadFormat,
			Err:  errors.New("no ETag"),
		}
	}
	return Value{
		ETag: etag,
		Data: r.body,
	}, nil
}

// check returns an error for every status but 200.
func (r reply) check(op string) error {
	kind := BadStatus
	switch r.status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusTooManyRequests:
		kind = RateLimited
	case fasthttp.StatusNotFound:
		kind = NotFound
	}
	return &Error{
		Op:   op,
		Kind: kind,
		Err:  fmt.Errorf("status %d", r.status),
	}
}
