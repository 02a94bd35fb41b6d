// Command standin runs stand-ins for the systems that quetzalhook works with:
// model engines and services.
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
	cmd := &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in with switchable faults (POST /faults)",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// listener is a stand-in that serves HTTP until it is closed.
type listener interface {
	Listen(address string) (string, error)
	Close() error
}

// serve runs l until ctx ends.
func serve(ctx context.Context, cmd *cli.Command, l listener) error {
	address, err := l.Listen(cmd.String("listen"))
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "listening on %s\n", address)
	<-ctx.Done()
	return l.Close()
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "listen", Value: "127.0.0.1:0", Usage: "address to serve on, host:port",
		Sources: cli.EnvVars("STANDIN_LISTEN"),
	}
}
