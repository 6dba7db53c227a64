package tutor

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	root = "../.."
	// runTimeout bounds the run of all commands.
	runTimeout  = 2 * time.Minute
	sectionMark = "@@ section "
)

// wantOutput lists, by section, texts that the commands must print and that the
// page must show.
var wantOutput = map[string][]string{
	"Build": {},
	"Import the inventory": {
		"16 rows, 16 taken, 0 refused",
		"draft.json: good: version 1, 4 services, 16 instances",
		"is in v1.json, ready to be published",
		"17 rows, 11 taken, 6 refused",
		"exit code 1",
	},
	"Start a small fleet": {
		"16 daemons and their stand-ins, in fleet",
		"16 of 16 daemons answered",
		"in force at 16 daemons",
	},
	"Cause overload": {
		"speed 0.05 for workshop-1, workshop-2, workshop-3, workshop-4",
		"overloaded",
		"last id of shed",
	},
	"Find the cause": {
		"of foreman-desk, importance",
		"overload: requests of its rank are shed",
		"exit code 1",
		"fast",
		"speed 1 for workshop-1, workshop-2, workshop-3, workshop-4",
	},
	"Take a target out of use": {
		"target workshop-2 leaves, it gets no new requests",
		"is in v2.json, ready to be published",
		"in force at 16 daemons",
		"leaving: takes no new work, 0 still running",
		"workshop-2 has stopped",
		"15 of 16 daemons answered",
		"exit code 1",
		"target workshop-2 is no longer leaving",
	},
	"The next morning": {
		"by awa: first inventory",
		"by awa: drain workshop-2, its host is replaced",
		"by awa: workshop-2 is back",
		"still in force",
		"gap: workshop-2",
		"exit code 1",
	},
	"Stop": {
		"all have stopped",
	},
}

// TestTutorial runs the commands of the tutorial in one shell, in a temporary
// directory and on a loopback address that no other test uses. It guards against
// a page that shows commands or outputs which no longer work.
func TestTutorial(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "TUTORIAL.md"))
	if err != nil {
		t.Fatal(err)
	}
	sections := Parse(string(page))
	dir := t.TempDir()
	output := runShell(t, script(sections, dir))
	for _, s := range sections {
		want, ok := wantOutput[s.Title]
		if ok == (s.Commands == "") {
			t.Errorf("section %q: commands %v, expectations %v", s.Title, s.Commands != "", ok)
		}
		_, got, _ := strings.Cut(output, sectionMark+s.Title+"\n")
		got, _, _ = strings.Cut(got, sectionMark)
		for _, text := range want {
			if !strings.Contains(s.Output, text) {
				t.Errorf("section %q: the page does not show %q", s.Title, text)
			}
			if !strings.Contains(got, text) {
				t.Errorf("section %q: the commands do not print %q", s.Title, text)
			}
		}
	}
	if t.Failed() {
		t.Log(output)
		showPanics(t, filepath.Join(dir, "tutorial", "fleet"))
	}
}

// showPanics logs the panics of daemons, which explain why they ended early.
func showPanics(t *testing.T, dir string) {
	t.Helper()
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path) // A missing log does not matter: the test has failed already.
		if _, after, ok := strings.Cut(string(text), "\npanic: "); ok {
			t.Logf("%s: panic: %.1000s", filepath.Base(path), after)
		}
	}
}

// script joins the commands of all sections, after a line that marks each in the
// output. It replaces the page's directory by one in dir, and the addresses in
// the examples by one that no other test uses.
func script(sections []Section, dir string) string {
	host := fmt.Sprintf("127.%d.%d.1", 120+os.Getpid()/256%8, os.Getpid()%256)
	var b strings.Builder
	b.WriteString("set -eu\n")
	for n, s := range sections {
		fmt.Fprintf(&b, "echo '%s%s'\n%s", sectionMark, s.Title, s.Commands)
		if n == 0 {
			fmt.Fprintf(&b, "sed -i 's/127\\.0\\.0\\.1/%s/g' examples/*.json examples/*.csv\n", host)
		}
	}
	return strings.ReplaceAll(b.String(), "/tmp/siskin-tutorial", filepath.Join(dir, "tutorial"))
}

// runShell runs a script and returns its output. All processes that the script
// starts are in one process group, which is killed at the end; the test fails if
// the group still has a process then.
func runShell(t *testing.T, script string) string {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-c", script)
	cmd.Dir = root
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Setpgid: true,
	}
	killAll := func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.Cancel = killAll
	begin := time.Now()
	if err := cmd.Run(); err != nil {
		t.Errorf("the commands ended with %v after %v", err, time.Since(begin))
	}
	if err := killAll(); err == nil {
		t.Error("a process still ran after the last command")
	} else if !errors.Is(err, syscall.ESRCH) {
		t.Error(err)
	}
	text, err := os.ReadFile(out.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
