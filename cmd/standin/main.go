// Command standin simulates a system that quetzalhook works with: the platform, a
// model engine or a service.
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
		Usage:    "simulate the platform, an engine or a service; POST /faults sets its faults",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// server is a simulated system that serves HTTP until it is closed.
type server interface {
	Listen(address string) (string, error)
	Close() error
}

// serve opens the listener of s, prints its address, and closes s when ctx ends.
func serve(ctx context.Context, cmd *cli.Command, s server) error {
	address, err := s.Listen(cmd.String("listen"))
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "listening on %s\n", address)
	<-ctx.Done()
	return s.Close()
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "listen", Value: "127.0.0.1:0", Usage: "address to serve on, host:port",
		Sources: cli.EnvVars("STANDIN_LISTEN"),
	}
}
