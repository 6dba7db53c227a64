package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestUsageExits checks that invalid arguments and settings end the program
// with exit code 2 and one line that names the cause.
func TestUsageExits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(path, []byte(`{"name": "stock-1", "slots": 0}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		args []string
		want string
	}{
		"no arguments": {
			want: "-settings FILE is missing",
		},
		"no such file": {
			args: []string{"-settings", path + "x"},
			want: "no such file",
		},
		"unexpected argument": {
			args: []string{"-settings", path, "more"},
			want: `unexpected argument "more"`,
		},
		"invalid setting": {
			args: []string{"-settings", path},
			want: path + `: settings: region is "", allowed is a name`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var stderr bytes.Buffer
			code := start(tt.args, &stderr)
			if code != exitUsage || !strings.Contains(stderr.String(), tt.want) || strings.Count(stderr.String(), "\n") != 1 {
				t.Errorf("exit code %d, stderr %q, want %q in one line", code, stderr.String(), tt.want)
			}
		})
	}
}
