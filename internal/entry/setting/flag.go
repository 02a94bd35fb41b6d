package setting

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"quetzalhook"
)

const (
	environmentPrefix    = "QUETZALHOOK_"
	defaultHostsLifetime = 5 * time.Second
	defaultHosts         = 6
)

// environment returns the environment variable of a flag.
func environment(flag string) cli.ValueSourceChain {
	return cli.EnvVars(environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// text returns a flag with a string value.
func text(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: environment(name)}
}

// Flags returns the flags of `quetzalhook serve`. Each can also be set by an
// environment variable: QUETZALHOOK_ and the flag's name in upper case, with
// underscores for hyphens.
func Flags() []cli.Flag {
	return []cli.Flag{
		text("host", "", "unique `NAME` of this host"),
		text("zone", "", "availability `ZONE` of this host"),
		text("listen", "127.0.0.1:8080", "`ADDRESS` for callers and operators"),
		text("advertise", "", "`ADDRESS` that callers are told to use, if other than --listen"),
		text("peer-listen", "127.0.0.1:8090", "UDP `ADDRESS` for other hosts; QUIC uses the next port"),
		text("peer-advertise", "", "`ADDRESS` that other hosts are told to use, if other than --peer-listen"),
		&cli.StringSliceFlag{Name: "seed", Usage: "peer `ADDRESS` of another host; can be given several times", Sources: environment("seed")},
		&cli.IntFlag{Name: "hosts", Value: defaultHosts, Usage: "expected `NUMBER` of hosts", Sources: environment("hosts")},
		text("platform", "", "`ADDRESS` of the platform's HTTP service"),
		text("peer-secret", "", "`SECRET` shared by all hosts, at least 16 bytes; preferably set by the environment variable"),
		text("operator-key", "", "`KEY` of operators, at least 16 bytes; preferably set by the environment variable"),
		text("policy", PolicyOwn, "scheduling `POLICY`: own or baseline"),
		text("certificate", "", "PEM `FILE` with the certificate for TLS connections from callers"),
		text("private-key", "", "PEM `FILE` with the private key for TLS connections from callers"),
		&cli.DurationFlag{
			Name: "hosts-lifetime", Value: defaultHostsLifetime, Usage: "how long callers may cache the list of hosts",
			Sources: environment("hosts-lifetime"),
		},
		&cli.DurationFlag{
			Name: "billing-window", Value: time.Hour, Usage: "length of a billing window, the same on all hosts",
			Sources: environment("billing-window"),
		},
		&cli.DurationFlag{
			Name: "stop-timeout", Usage: "longest time for a graceful shutdown; 0 means no limit", Sources: environment("stop-timeout"),
		},
		&cli.IntFlag{Name: "memory-mb", Usage: "memory in `MB` that the process may take; 0 means that it is not known", Sources: environment("memory-mb")},
		&cli.IntFlag{Name: "max-fds", Usage: "`NUMBER` of descriptors that the process may open; 0 means that it is not known", Sources: environment("max-fds")},
		text("log-level", "info", "`LEVEL`: debug, info, warn or error"),
	}
}

// FromCommand returns the settings from a command that has the flags of Flags.
func FromCommand(cmd *cli.Command) Settings {
	return Settings{
		Host:          quetzalhook.HostID(cmd.String("host")),
		Zone:          quetzalhook.Zone(cmd.String("zone")),
		Listen:        cmd.String("listen"),
		Advertise:     cmd.String("advertise"),
		PeerListen:    cmd.String("peer-listen"),
		PeerAdvertise: cmd.String("peer-advertise"),
		Seeds:         cmd.StringSlice("seed"),
		Hosts:         cmd.Int("hosts"),
		Platform:      cmd.String("platform"),
		PeerSecret:    cmd.String("peer-secret"),
		OperatorKey:   cmd.String("operator-key"),
		Policy:        cmd.String("policy"),
		Certificate:   cmd.String("certificate"),
		PrivateKey:    cmd.String("private-key"),
		HostsLifetime: cmd.Duration("hosts-lifetime"),
		BillingWindow: cmd.Duration("billing-window"),
		StopTimeout:   cmd.Duration("stop-timeout"),
		MemoryMB:      cmd.Int("memory-mb"),
		MaxFDs:        cmd.Int("max-fds"),
	}
}
