package wire

import "net/rpc"

// Client is the [rpc.ClientCodec] of this package.
type Client struct {
	framer *framer
	body   []byte
}

var _ rpc.ClientCodec = (*Client)(nil)

// NewClient returns the codec for the end that opened the connection.
func NewClient(cfg Config) *Client {
	return &Client{
		framer: newFramer(cfg, toClient, toServer),
	}
}

// WriteRequest sends a request as one frame. It closes the connection after an
// error that may have left a part of the frame on it.
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

// ReadResponseBody decodes the body of the current frame into body, or discards
// it if body is nil.
func (c *Client) ReadResponseBody(body any) error {
	if body == nil {
		return nil
	}
	return Unmarshal(c.body, body)
}

// Close closes the connection.
func (c *Client) Close() error { return c.framer.cfg.Conn.Close() }
