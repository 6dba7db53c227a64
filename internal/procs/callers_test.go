package procs

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
)

func TestIsUnconnected(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"refused": {
			err: &net.OpError{
				Op:  "dial",
				Err: syscall.ECONNREFUSED,
			},
			want: true,
		},
		"reset while it was made": {
			err: fmt.Errorf("exchange: %w", &net.OpError{
				Op:  "dial",
				Err: syscall.ECONNRESET,
			}),
			want: true,
		},
		"reset once it was made": {
			err: &net.OpError{
				Op:  "read",
				Err: syscall.ECONNRESET,
			},
		},
		"no answer to the dial": {
			err: &net.OpError{
				Op:  "dial",
				Err: syscall.ETIMEDOUT,
			},
		},
		"cut": {
			err: errors.New("EOF"),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := isUnconnected(tt.err); got != tt.want {
				t.Errorf("isUnconnected(%v) = %t, want %t", tt.err, got, tt.want)
			}
		})
	}
}
