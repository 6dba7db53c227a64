package head

// Stream checks the heads on a connection that carries one exchange at a time and that
// an HTTP library reads. The zero value is ready for use.
type Stream struct {
	checker Checker
	// rest is the line that has arrived in part.
	rest []byte
	// isPast is set behind the head of a final answer.
	isPast bool
}

// Begin tells that a request is written, so that the next byte to arrive begins the
// head of an answer.
func (s *Stream) Begin() { *s = Stream{} }

// Check checks the bytes that arrived last. Errors are of type [*Error].
func (s *Stream) Check(arrived []byte) error {
	if s.isPast {
		return nil
	}
	b := append(s.rest, arrived...)
	for !s.isPast {
		n, err := s.checker.Check(b)
		if err != nil {
			return err
		}
		b = b[n:]
		if !s.checker.IsComplete() {
			break
		}
		s.isPast = !s.checker.IsInterim()
		s.checker = Checker{}
	}
	s.rest = b
	return nil
}
