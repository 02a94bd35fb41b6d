// Command quetzalhook runs an entry host (serve, host) and sends operator commands
// to a running host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "quetzalhook:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "quetzalhook",
		Usage: "route language-model traffic with service levels and priorities",
		Commands: []*cli.Command{
			serveCommand(), hostCommand(), checkCommand(), checkRoutingCommand(), planCommand(), confirmCommand(), keyCommand(), orderCommand(), statusCommand(),
		},
	}
}
