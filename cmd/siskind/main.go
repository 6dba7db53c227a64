// Command siskind is the daemon that runs beside one target.
//
// It takes the flag -settings FILE, or the single word "side" to run on the
// users' platform, where an environment variable names the settings file. The
// exit code is 0 after a graceful stop by SIGTERM or SIGINT, 2 for invalid
// arguments or settings, and 1 if the daemon can't start. SIGHUP makes "side"
// read its settings again; otherwise it is logged and ignored, so that the end of
// an operator's session does not end the daemon.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/dig"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"siskinswitch.example/siskin/internal/daemon"
	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(start(os.Args[1:], os.Stderr)) }

// start runs the program and returns its exit code.
func start(args []string, stderr io.Writer) int {
	if len(args) == 1 && args[0] == sideCommand {
		return startSide(stderr)
	}
	flags := flag.NewFlagSet("siskind", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "`file` with the daemon's settings in JSON; see docs/CONFIG.md")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	set, err := readSettings(*path, flags.Args())
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "siskind: %v\n", err)
		return exitUsage
	}
	if err := run(set, notifySignals()); err != nil {
		_, _ = fmt.Fprintf(stderr, "siskind: %v\n", dig.RootCause(err))
		return exitFailed
	}
	return 0
}

func readSettings(path string, args []string) (daemon.Settings, error) {
	if path == "" {
		return daemon.Settings{}, errors.New("settings: -settings FILE is missing")
	}
	if len(args) > 0 {
		return daemon.Settings{}, fmt.Errorf("settings: unexpected argument %q", args[0])
	}
	f, err := os.Open(path)
	if err != nil {
		return daemon.Settings{}, fmt.Errorf("settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	set, err := daemon.ReadSettings(f)
	if err != nil {
		return set, fmt.Errorf("%s: %w", path, err)
	}
	return set, nil
}

// signalBuffer is the number of signals that can be pending; more are dropped.
const signalBuffer = 4

// notifySignals returns the channel of the signals that the daemon handles. Those
// that arrive earlier end the process.
func notifySignals() chan os.Signal {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// run builds the daemon and runs it until a signal stops it.
func run(set daemon.Settings, signals chan os.Signal) error {
	c := dig.New()
	for _, provider := range []any{
		func() daemon.Settings { return set },
		func() chan os.Signal { return signals },
		clock.System,
		newLogger,
		newConfig,
		daemon.New,
	} {
		if err := c.Provide(provider); err != nil {
			return err
		}
	}
	return c.Invoke(serve)
}

func newConfig(set daemon.Settings, c clock.Clock, log *zap.Logger) daemon.Config {
	return daemon.Config{
		Settings: set,
		Clock:    c,
		Log:      log,
	}
}

func newLogger(set daemon.Settings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(set.Log)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.DisableStacktrace = true
	// Incident reviews rely on every event, so none is sampled away.
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("instance", set.Name)), nil
}

// serve starts the daemon and stops it on a signal.
func serve(d *daemon.Daemon, log *zap.Logger, signals chan os.Signal) error {
	// Logs go to standard error, which may not support Sync.
	defer func() { _ = log.Sync() }()
	if err := d.Start(); err != nil {
		return err
	}
	awaitStop(signals, log)
	d.Stop()
	return nil
}

// awaitStop waits for a signal that stops the daemon.
func awaitStop(signals <-chan os.Signal, log *zap.Logger) {
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		event.Info(log, event.HangupIgnored)
	}
}
