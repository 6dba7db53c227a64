package wire

import "net/rpc"

// Server is the [rpc.ServerCodec] of this package.
type Server struct {
	framer *framer
	body   []byte
}

var _ rpc.ServerCodec = (*Server)(nil)

// NewServer returns the codec for the end that accepted the connection.
func NewServer(cfg Config) *Server {
	return &Server{
		framer: newFramer(cfg, toServer, toClient),
	}
}

// ReadRequestHeader reads the next frame and decodes its header.
func (s *Server) ReadRequestHeader(r *rpc.Request) error {
	data, err := s.framer.read()
	if err != nil {
		return err
	}
	h, body, err := splitHeader(data)
	if err != nil {
		return err
	}
	r.Seq = h.Seq
	r.ServiceMethod = h.Method
	s.body = body
	return nil
}

// ReadRequestBody decodes the body of the current frame into body, or discards
// it if body is nil.
func (s *Server) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	return Unmarshal(s.body, body)
}

// WriteResponse sends a response as one frame. The frame does not name the
// method, which the client knows by the sequence number. If body cannot be
// encoded or is too large, the client gets that error in place of the response.
// WriteResponse closes the connection after any other error.
func (s *Server) WriteResponse(r *rpc.Response, body any) error {
	h := header{
		Seq:   r.Seq,
		Error: r.Error,
	}
	err := s.framer.write(h, body)
	if IsKind(err, Encode) || IsKind(err, TooLarge) {
		h.Error = err.Error()
		err = s.framer.write(h, struct{}{})
	}
	if err != nil {
		_ = s.Close() // A part of the frame may have been sent.
	}
	return err
}

// Close closes the connection.
func (s *Server) Close() error { return s.framer.cfg.Conn.Close() }
