package main

import (
	"bytes"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
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

// TestHangupDoesNotStop sends SIGHUP to this process, which ends it unless it is
// handled, and checks that the daemon logs it and stops for SIGTERM only.
func TestHangupDoesNotStop(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	signals := notifySignals()
	defer signal.Stop(signals)
	stopped := make(chan struct{})
	go func() {
		awaitStop(signals, zap.New(core))
		close(stopped)
	}()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); lines.Len() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("SIGHUP was not logged")
		}
	}
	select {
	case <-stopped:
		t.Fatal("the daemon stops for SIGHUP")
	default:
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the daemon does not stop for SIGTERM")
	}
}
