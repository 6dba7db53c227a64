package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/dig"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/side"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

// sideCommand is the first argument that starts the daemon on the users'
// platform.
const sideCommand = "side"

// startSide runs the daemon on the users' platform and returns its exit code.
func startSide(stderr io.Writer) int {
	set, err := readSideSettings()
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "siskind: %v\n", err)
		return exitUsage
	}
	if err := runSide(set); err != nil {
		_, _ = fmt.Fprintf(stderr, "siskind: %v\n", dig.RootCause(err))
		return exitFailed
	}
	return 0
}

func readSideSettings() (side.Settings, error) {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return side.Settings{}, fmt.Errorf("settings: the variable %s is not set", platform.SettingsVariable)
	}
	f, err := os.Open(path)
	if err != nil {
		return side.Settings{}, fmt.Errorf("settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	set, err := side.ReadSettings(f)
	if err != nil {
		return set, fmt.Errorf("%s: %w", path, err)
	}
	return set, nil
}

func runSide(set side.Settings) error {
	c := dig.New()
	for _, provider := range []any{
		func() side.Settings { return set },
		clock.System,
		newSideLines,
		newSideLogger,
		side.New,
	} {
		if err := c.Provide(provider); err != nil {
			return err
		}
	}
	return c.Invoke(serveSide)
}

// newSideLines returns the writer of log lines.
func newSideLines(c clock.Clock) *side.Lines { return side.NewLines(os.Stdout, c) }

func newSideLogger(set side.Settings, lines *side.Lines) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), lines, zapcore.InfoLevel)
	return zap.New(core).With(zap.String("host", set.Name))
}

// serveSide starts the daemon and waits for a signal to stop.
func serveSide(d *side.Daemon, lines *side.Lines, log *zap.Logger) error {
	defer lines.Close()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := d.Start(); err != nil {
		return err
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		set, err := readSideSettings()
		if err != nil {
			event.Warn(log, event.Unreloaded, zap.Error(err))
			continue
		}
		d.Reload(set)
	}
	d.Stop()
	return nil
}
