package source

import (
	"context"
	"encoding/json"

	"siskinswitch.example/siskin/pkg/clock"
)

const opHosts = "read hosts"

// Hosts reads the list of hosts once.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	x := c.exchanger(ctx, c.cfg.RosterAddr)
	defer x.close()
	r, err := x.get(opHosts, "/hosts", c.cfg.Timeout)
	if err != nil {
		return nil, err
	}
	if err := r.check(opHosts); err != nil {
		return nil, err
	}
	var hosts []Host
	if err := json.Unmarshal(r.body, &hosts); err != nil {
		return nil, &Error{
			Op:   opHosts,
			Kind: BadFormat,
			Err:  err,
		}
	}
	return hosts, nil
}

// PollHosts reads the list of hosts about once per interval until ctx ends, and
// passes each list to OnHosts. A failure goes to OnError and doubles the
// interval; a success resets it.
func (c *Client) PollHosts(ctx context.Context, every clock.Milli) {
	b := c.backoff(every)
	for ctx.Err() == nil {
		hosts, err := c.Hosts(ctx)
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			c.cfg.OnError(err)
			b.grow()
		default:
			b.reset()
			c.cfg.OnHosts(hosts)
		}
		if !b.wait(ctx) {
			return
		}
	}
}
