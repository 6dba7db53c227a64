package wire

import "net/rpc"

// Server is the codec of a server; see [rpc.ServerCodec].
type Server struct {
	framer *framer
	body   []byte
}

var _ rpc.ServerCodec = (*Server)(nil)

// NewServer returns the codec of the end that accepted the connection.
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

// ReadRequestBody decodes the message of the frame read last into body, or
// drops it if body is nil.
func (s *Server) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	return Unmarshal(s.body, body)
}

// WriteResponse sends one frame. It leaves out the method, which the client
// knows by the sequence number. If the answer can't be encoded or is too
// large, the caller gets that error instead of the answer.
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
		_ = s.Close() // Half a frame may have been sent.
	}
	return err
}

// Close closes the connection.
func (s *Server) Close() error { return s.framer.cfg.Conn.Close() }
