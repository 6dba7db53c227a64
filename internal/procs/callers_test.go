package procs

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
)

// TestIsUnconnected checks that only errors after which no daemon can have got the
// request count as failures to connect.
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
		"reset while connecting": {
			err: fmt.Errorf("exchange: %w", &net.OpError{
				Op:  "dial",
				Err: syscall.ECONNRESET,
			}),
			want: true,
		},
		"reset after connecting": {
			err: &net.OpError{
				Op:  "read",
				Err: syscall.ECONNRESET,
			},
		},
		"connect timeout": {
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
