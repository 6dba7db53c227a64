package wire

import "net/rpc"

// Client is the codec of a client; see [rpc.ClientCodec].
type Client struct {
	framer *framer
	body   []byte
}

var _ rpc.ClientCodec = (*Client)(nil)

// NewClient returns the codec of the end that opened the connection.
func NewClient(cfg Config) *Client {
	return &Client{
		framer: newFramer(cfg, toClient, toServer),
	}
}

// WriteRequest sends one frame. The connection is closed if that fails after
// a part of it may have been sent.
func (c *Client) WriteRequest(r *rpc.Request, body any) error {
	err := c.framer.write(header{
		Seq:    r.Seq,
		Method: r.ServiceMethod,
	}, body)
	if IsKind(err, Broken) {
		_ = c.Close()
	}
	return err
}

// ReadResponseHeader reads the next frame and decodes its header.
func (c *Client) ReadResponseHeader(r *rpc.Response) error {
	data, err := c.framer.read()
	if err != nil {
		return err
	}
	h, body, err := splitHeader(data)
	if err != nil {
		return err
	}
	r.Seq = h.Seq
	r.Error = h.Error
	c.body = body
	return nil
}

// ReadResponseBody decodes the message of the frame read last into body, or
// drops it if body is nil.
func (c *Client) ReadResponseBody(body any) error {
	if body == nil {
		return nil
	}
	return Unmarshal(c.body, body)
}

// Close closes the connection.
func (c *Client) Close() error { return c.framer.cfg.Conn.Close() }
