package rescue

import (
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	tests := map[string]struct {
		f    func()
		want string
	}{
		"returns": {
			f: func() {},
		},
		"panics with a text": {
			f:    func() { panic("broken") },
			want: "rescue: parse panicked: broken",
		},
		"panics in the runtime": {
			f: func() {
				var list []int
				_ = list[len(list)]
			},
			want: "index out of range",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := Run("parse", tt.f)
			switch {
			case tt.want == "" && err != nil:
				t.Fatalf("error %v, want none", err)
			case tt.want == "":
				return
			case err == nil || !strings.Contains(err.Error(), tt.want):
				t.Fatalf("error %v, want %q", err, tt.want)
			}
			if !strings.Contains(err.Stack, "rescue_test.go") || len(err.Stack) > maxStackBytes {
				t.Fatalf("stack of %d bytes does not name the place: %s", len(err.Stack), err.Stack)
			}
		})
	}
}
