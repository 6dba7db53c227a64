package source

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"siskinswitch.example/siskin/pkg/clock"
)

const opHosts = "read hosts"

// Hosts reads the list of hosts once. An entry that can't be read is reported to
// OnOddHost and left out.
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
	var entries []json.RawMessage
	if err := json.Unmarshal(r.body, &entries); err != nil {
		return nil, &Error{
			Op:   opHosts,
			Kind: BadFormat,
			Err:  err,
		}
	}
	hosts := make([]Host, 0, len(entries))
	for i, entry := range entries {
		h, err := decodeHost(entry)
		if err != nil {
			c.cfg.OnOddHost(&Error{
				Op:   opHosts,
				Kind: BadFormat,
				Err:  fmt.Errorf("entry %d: %w", i, err),
			})
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// decodeHost decodes one entry of the list of hosts.
func decodeHost(entry []byte) (Host, error) {
	var h Host
	if err := json.Unmarshal(entry, &h); err != nil {
		return h, err
	}
	if _, err := netip.ParseAddr(h.Addr); err != nil {
		return h, err
	}
	if h.Name == "" {
		return h, errors.New("field name is missing")
	}
	return h, nil
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
