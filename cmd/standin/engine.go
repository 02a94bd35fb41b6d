package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"quetzalhook/internal/standin/engine"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine with continuous batching",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{
				Name: "slots", Value: 8, Usage: "requests that run at once",
				Sources: cli.EnvVars("STANDIN_SLOTS"),
			},
			&cli.FloatFlag{
				Name: "token-rate", Value: 100, Usage: "tokens/s of a stream that runs alone",
				Sources: cli.EnvVars("STANDIN_TOKEN_RATE"),
			},
			&cli.FloatFlag{
				Name: "prefill-rate", Value: 20000, Usage: "prompt tokens/s, shared by all prompts",
				Sources: cli.EnvVars("STANDIN_PREFILL_RATE"),
			},
			&cli.FloatFlag{
				Name: "batch-slope", Value: 0.5, Usage: "fraction by which a step is longer with a full batch",
				Sources: cli.EnvVars("STANDIN_BATCH_SLOPE"),
			},
			&cli.IntFlag{
				Name: "cache-tokens", Value: 1 << 17, Usage: "memory of the prefix cache in tokens",
				Sources: cli.EnvVars("STANDIN_CACHE_TOKENS"),
			},
			&cli.BoolFlag{
				Name: "check-fencing", Usage: "refuse orders with an old fencing number",
				Sources: cli.EnvVars("STANDIN_CHECK_FENCING"),
			},
			&cli.StringSliceFlag{
				Name: "model", Usage: "model to serve, repeatable; without it, any",
				Sources: cli.EnvVars("STANDIN_MODELS"),
			},
			&cli.IntFlag{
				Name: "report-lag-ms", Usage: "least age of a load report in milliseconds",
				Sources: cli.EnvVars("STANDIN_REPORT_LAG_MS"),
			},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	opts := []engine.Option{
		engine.WithSlots(cmd.Int("slots")),
		engine.WithTokenRate(cmd.Float("token-rate")),
		engine.WithPrefillRate(cmd.Float("prefill-rate")),
		engine.WithBatchSlope(cmd.Float("batch-slope")),
		engine.WithCacheTokens(cmd.Int("cache-tokens")),
		engine.WithModels(cmd.StringSlice("model")...),
	}
	if cmd.Bool("check-fencing") {
		opts = append(opts, engine.WithFencing())
	}
	e := engine.New(opts...)
	if err := e.SetFaults(engine.Faults{ReportLagMS: int64(cmd.Int("report-lag-ms"))}); err != nil {
		return err
	}
	return serve(ctx, cmd, e)
}
