package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"go.uber.org/dig"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proxy"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

// sideCommand is the only argument of a daemon on the users' platform, where it
// runs as a sidecar.
const sideCommand = "side"

// settingsEvery is the interval at which the settings file is read again, since
// it may change without a signal.
const settingsEvery = 2 * clock.Second

// startSide runs the daemon on the users' platform and returns the program's
// exit code.
func startSide(stderr io.Writer) int {
	// Signals are caught before the settings are read.
	signals := notifySignals()
	set, err := readSideSettings()
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "siskind: %v\n", err)
		return exitUsage
	}
	if err := runSide(set, signals); err != nil {
		_, _ = fmt.Fprintf(stderr, "siskind: %v\n", dig.RootCause(err))
		return exitFailed
	}
	return 0
}

// readSideSettings reads the settings file that the environment names.
func readSideSettings() (proxy.Settings, error) {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return proxy.Settings{}, fmt.Errorf("settings: environment variable %s is not set", platform.SettingsVariable)
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return proxy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	set, err := proxy.ReadSettings(bytes.NewReader(body))
	if err != nil {
		return set, fmt.Errorf("%s: %w", path, err)
	}
	return set, nil
}

// runSide builds the daemon and runs it until a signal stops it.
func runSide(set proxy.Settings, signals chan os.Signal) error {
	c := dig.New()
	for _, provider := range []any{
		func() proxy.Settings { return set },
		func() chan os.Signal { return signals },
		clock.System,
		newSideLogWriter,
		newSideLogger,
		proxy.New,
	} {
		if err := c.Provide(provider); err != nil {
			return err
		}
	}
	return c.Invoke(serveSide)
}

// newSideLogWriter returns the writer for log lines.
func newSideLogWriter(c clock.Clock) *proxy.LogWriter { return proxy.NewLogWriter(os.Stdout, c) }

func newSideLogger(set proxy.Settings, out *proxy.LogWriter) *zap.Logger {
	return proxy.NewLogger(out).With(zap.String("host", set.Name))
}

// serveSide starts the daemon and stops it on a signal. SIGHUP rereads the
// settings at once; a ticker rereads them regularly.
func serveSide(d *proxy.Daemon, out *proxy.LogWriter, signals chan os.Signal) error {
	defer out.Close()
	if err := d.Start(); err != nil {
		return err
	}
	reread := time.NewTicker(settingsEvery.Duration())
	defer reread.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				d.Stop()
				return nil
			}
		case <-reread.C:
		}
		set, err := readSideSettings()
		if err != nil {
			d.ReloadFailed(err)
			continue
		}
		d.Reload(set)
	}
}
