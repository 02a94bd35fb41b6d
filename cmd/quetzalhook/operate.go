package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalhook"
	"quetzalhook/internal/entry/operator"
	"quetzalhook/internal/record/configuration"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate a configuration file without a host", ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			data, err := readFile(cmd)
			if err != nil {
				return err
			}
			doc, err := configuration.Parse(data)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "ok: %d customers, %d classes, %d upstreams, %d routes\n",
				len(doc.Customers), len(doc.Classes), len(doc.Upstreams), len(doc.Routes))
			return err
		},
	}
}

func readFile(cmd *cli.Command) ([]byte, error) {
	name, err := argument(cmd, "FILE")
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(name)
	return data, errors.WithStack(err)
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "show what a configuration file would change; nothing takes effect", ArgsUsage: "FILE",
		Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			data, err := readFile(cmd)
			if err != nil {
				return err
			}
			var plan operator.PlanBody
			if err := call(ctx, cmd, http.MethodPost, "/operator/plans", data, &plan); err != nil {
				return err
			}
			for _, line := range plan.Difference {
				fmt.Fprintln(cmd.Root().Writer, line)
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "plan %s against version %d; confirm with: quetzalhook confirm %s\n", plan.ID, plan.Base, plan.ID)
			return err
		},
	}
}

func confirmCommand() *cli.Command {
	return &cli.Command{
		Name: "confirm", Usage: "put a plan in force", ArgsUsage: "ID", Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := argument(cmd, "ID")
			if err != nil {
				return err
			}
			var body operator.ConfirmBody
			if err := call(ctx, cmd, http.MethodPost, "/operator/plans/"+url.PathEscape(id)+"/confirm", nil, &body); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "version %d is accepted; hosts follow within seconds, see status\n", body.Version)
			return err
		},
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "issue and withdraw customers' keys",
		Commands: []*cli.Command{issueCommand(), withdrawCommand()},
	}
}

func issueCommand() *cli.Command {
	return &cli.Command{
		Name: "issue", Usage: "issue a key; its secret is shown once", ArgsUsage: "CUSTOMER", Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			customer, err := argument(cmd, "CUSTOMER")
			if err != nil {
				return err
			}
			body, err := json.Marshal(operator.KeyRequest{Customer: quetzalhook.CustomerID(customer)})
			if err != nil {
				return errors.WithStack(err)
			}
			var key operator.KeyBody
			if err := call(ctx, cmd, http.MethodPost, "/operator/keys", body, &key); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "id %s\nsecret %s\n", key.ID, key.Secret)
			return err
		},
	}
}

func withdrawCommand() *cli.Command {
	return &cli.Command{
		Name: "withdraw", Usage: "withdraw a key; open streams of it end", ArgsUsage: "ID", Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := argument(cmd, "ID")
			if err != nil {
				return err
			}
			var body operator.WithdrawBody
			if err := call(ctx, cmd, http.MethodPost, "/operator/keys/"+url.PathEscape(id)+"/withdraw", nil, &body); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "withdrawn; in the store: %v; hosts that have not confirmed: %v\n", body.Persisted, body.Missed)
			return err
		},
	}
}

func orderCommand() *cli.Command {
	return &cli.Command{
		Name: "order", Usage: "settle orders with an unknown outcome",
		Commands: []*cli.Command{{
			Name: "settle", ArgsUsage: "INTENT",
			Usage: "state that the process that wrote an open intent sends nothing more, see status",
			Flags: clientFlags(
				&cli.StringFlag{Name: "role", Value: "controller", Usage: "`ROLE` that has the open intent"},
			),
			Action: settleOrder,
		}},
	}
}

func settleOrder(ctx context.Context, cmd *cli.Command) error {
	id, err := argument(cmd, "INTENT")
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/operator/roles/%s/intents/%s/settle", url.PathEscape(cmd.String("role")), url.PathEscape(id))
	return call(ctx, cmd, http.MethodPost, path, nil, nil)
}
