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
		Name: "check", Usage: "validate a configuration file without contacting a host", ArgsUsage: "FILE",
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

// readFile reads the file that the only argument of a command names.
func readFile(cmd *cli.Command) ([]byte, error) {
	name, err := soleArgument(cmd, "FILE")
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(name)
	return data, errors.WithStack(err)
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "show what a configuration file would change, without applying it", ArgsUsage: "FILE",
		Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			data, err := readFile(cmd)
			if err != nil {
				return err
			}
			var plan operator.PlanBody
			if err := callHost(ctx, cmd, http.MethodPost, "/operator/plans", data, &plan); err != nil {
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
		Name: "confirm", Usage: "apply a plan", ArgsUsage: "ID", Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := soleArgument(cmd, "ID")
			if err != nil {
				return err
			}
			var body operator.ConfirmBody
			if err := callHost(ctx, cmd, http.MethodPost, "/operator/plans/"+url.PathEscape(id)+"/confirm", nil, &body); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "version %d is accepted; hosts apply it within seconds, check it with status\n", body.Version)
			return err
		},
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "issue and withdraw customer keys",
		Commands: []*cli.Command{issueCommand(), withdrawCommand()},
	}
}

func issueCommand() *cli.Command {
	return &cli.Command{
		Name: "issue", Usage: "issue a key; its secret is shown once", ArgsUsage: "CUSTOMER", Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			customer, err := soleArgument(cmd, "CUSTOMER")
			if err != nil {
				return err
			}
			body, err := json.Marshal(operator.KeyRequest{Customer: quetzalhook.CustomerID(customer)})
			if err != nil {
				return errors.WithStack(err)
			}
			var key operator.KeyBody
			if err := callHost(ctx, cmd, http.MethodPost, "/operator/keys", body, &key); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "id %s\nsecret %s\n", key.ID, key.Secret)
			return err
		},
	}
}

func withdrawCommand() *cli.Command {
	return &cli.Command{
		Name: "withdraw", Usage: "withdraw a key and end its open streams", ArgsUsage: "ID", Flags: clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := soleArgument(cmd, "ID")
			if err != nil {
				return err
			}
			var body operator.WithdrawBody
			if err := callHost(ctx, cmd, http.MethodPost, "/operator/keys/"+url.PathEscape(id)+"/withdraw", nil, &body); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "withdrawn; stored: %v; hosts that have not confirmed it: %v\n", body.Persisted, body.Missed)
			return err
		},
	}
}

func orderCommand() *cli.Command {
	return &cli.Command{
		Name: "order", Usage: "settle orders whose outcome is unknown",
		Commands: []*cli.Command{{
			Name: "settle", ArgsUsage: "INTENT",
			Usage: "declare that the process that wrote an open intent will not send its order any more; status lists the intents",
			Flags: clientFlags(
				&cli.StringFlag{Name: "role", Value: "controller", Usage: "`ROLE` that has the open intent"},
			),
			Action: settleOrder,
		}},
	}
}

// settleOrder declares to a host that the process that wrote an open intent will
// not send its order any more.
func settleOrder(ctx context.Context, cmd *cli.Command) error {
	id, err := soleArgument(cmd, "INTENT")
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/operator/roles/%s/intents/%s/settle", url.PathEscape(cmd.String("role")), url.PathEscape(id))
	return callHost(ctx, cmd, http.MethodPost, path, nil, nil)
}
