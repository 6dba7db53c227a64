// Command siskindemo runs both example deployments on loopback and loads them
// through a calm phase, a crest and a recovery phase. It prints the results that
// callers got from siskinswitch and from two baselines. docs/DEMO.md explains
// the output.
//
// The exit status is 1 if an invariant was violated or the run failed, and 2 on
// wrong usage.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"siskinswitch.example/siskin/internal/demo"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	exitFailed = 1
	exitUsage  = 2
	maxSeconds = 600
	gcPercent  = 400
)

func main() { os.Exit(run(os.Args[1:])) }

// options are the flags of the program.
type options struct {
	seconds    int
	scale      float64
	seed       uint64
	deployment string
	system     string
	json       bool
	logs       bool
}

func parse(args []string) (options, error) {
	var o options
	flags := flag.NewFlagSet("siskindemo", flag.ContinueOnError)
	flags.IntVar(&o.seconds, "seconds", 12, "`length` of the load on each deployment under each system")
	flags.Float64Var(&o.scale, "scale", 1, "`factor` on the demand")
	flags.Uint64Var(&o.seed, "seed", 1, "`number` that the load is drawn from")
	flags.StringVar(&o.deployment, "deployment", "", "run only this `deployment`: xaalis or armor")
	flags.StringVar(&o.system, "system", "", "run only this `system`: siskinswitch, none or static")
	flags.BoolVar(&o.json, "json", false, "print JSON in place of tables")
	flags.BoolVar(&o.logs, "logs", false, "print the daemons' warnings to standard error")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	if flags.NArg() > 0 {
		return o, fmt.Errorf("siskindemo takes no arguments, got %q", flags.Arg(0))
	}
	if o.seconds < demo.MinSeconds || o.seconds > maxSeconds {
		return o, fmt.Errorf("-seconds is %d, allowed is %d to %d", o.seconds, demo.MinSeconds, maxSeconds)
	}
	if o.scale <= 0 || o.scale > 10 {
		return o, fmt.Errorf("-scale is %v, allowed is above 0 up to 10", o.scale)
	}
	return o, nil
}

func run(args []string) int {
	o, err := parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	cfg, err := o.config()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Less frequent garbage collection keeps its pauses out of the results.
	debug.SetGCPercent(gcPercent)
	p := newPrinter(os.Stderr)
	p.begin(cfg)
	cfg.OnPhase = p.phase
	if p.live {
		cfg.OnSecond = p.second
	}
	result, err := demo.Run(ctx, cfg)
	p.end()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return report(result, o.json)
}

func (o options) config() (demo.Config, error) {
	deployments, err := demo.ParseDeployments(o.deployment)
	if err != nil {
		return demo.Config{}, err
	}
	systems, err := demo.ParseSystems(o.system)
	if err != nil {
		return demo.Config{}, err
	}
	log := zap.NewNop()
	if o.logs {
		enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
		log = zap.New(zapcore.NewCore(enc, zapcore.Lock(os.Stderr), zapcore.WarnLevel))
	}
	return demo.Config{
		Deployments: deployments,
		Systems:     systems,
		Length:      clock.Milli(o.seconds) * clock.Second,
		Scale:       o.scale,
		Seed:        o.seed,
		Log:         log,
	}, nil
}

// report prints the result and returns the exit status.
func report(result demo.Result, asJSON bool) int {
	write := result.WriteTable
	if asJSON {
		write = result.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, line := range result.Warnings(runtime.GOMAXPROCS(0)) {
		fmt.Fprintln(os.Stderr, line)
	}
	if !result.InvariantsHold() {
		fmt.Fprintln(os.Stderr, "an invariant broke")
		return exitFailed
	}
	return 0
}
