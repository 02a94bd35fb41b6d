// Package node assembles one entry host from its settings: it starts the
// parts, keeps them supplied with configuration, upstreams and news of the
// other hosts, and stops them without cutting a request.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/operator"
	"quetzalhook/internal/entry/probe"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/platform/provider"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/state/boottime"
	"quetzalhook/internal/state/chart"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/placement"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	// drainNotice is added to the lifetime of host lists before a stopping
	// host closes connections: the time for its heartbeats to reach the others.
	drainNotice = time.Second
)

// Node is one entry host.
type Node struct {
	settings setting.Settings
	log      logrus.FieldLogger
	clock    quetzalhook.Clock
	meter    *meter.Meter
	inv      *invariant.Registry
	machine  *chart.Machine
	store    Store
	provider *provider.Client
	broker   *broker.Broker
	planner  *placement.Planner // nil with the baseline policy
	pool     *relay.Pool
	relay    *relay.Relay
	prober   *probe.Prober
	front    *front.Front
	server   *http.Server
	listener net.Listener
	records  *records
	fleet    *fleet

	region   atomic.Value // quetzalhook.Region
	draining atomic.Bool
	listed   atomic.Pointer[[]quetzalhook.Upstream] // the platform's list
	free     atomic.Uint64                          // free share of slots, as float64 bits

	applying sync.Mutex
	applied  []quetzalhook.Upstream // the upstreams in use, guarded by applying

	cancel  context.CancelFunc
	wg      sync.WaitGroup
	stopped sync.Once
}

// Store is the platform's store as a host uses it.
type Store interface {
	quetzalhook.Store
	// Calls returns the number of calls made so far.
	Calls() (reads, writes, watches int64)
	// Close cancels the calls in progress.
	Close()
}

// New returns a host that is not started and that closes store when it ends. It
// returns a *setting.Error that lists every mistake in the settings.
func New(settings setting.Settings, store Store, log logrus.FieldLogger) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	if log == nil {
		silent := logrus.New()
		silent.SetLevel(logrus.PanicLevel)
		log = silent
	}
	log = log.WithField("host", settings.Host)
	n := &Node{
		settings: settings, log: log, clock: boottime.Clock{}, meter: meter.New(), inv: invariant.New(log),
		store: store, provider: provider.New(settings.Platform), pool: relay.NewPool(),
	}
	n.region.Store(quetzalhook.Region(""))
	if err := n.build(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) build() error {
	charts, err := chart.Load(chart.Host)
	if err != nil {
		return err
	}
	n.machine = charts.NewMachine(string(n.settings.Host), n.inv)
	if n.fleet, err = n.newFleet(); err != nil {
		return err
	}
	if n.records, err = n.newRecords(); err != nil {
		return err
	}
	requests, err := chart.Load(chart.Request)
	if err != nil {
		return err
	}
	n.broker = broker.New(n.newPolicy(), n.clock, broker.WithChart(requests, n.inv))
	n.relay = relay.New(n.broker, n.pool, n.inv, relay.WithKeys(n.records.keys))
	n.prober = probe.New(n.pool, n.broker.ObserveLoad)
	n.front = front.New(front.Deps{
		Broker: n.broker, Relay: n.relay, Keys: n.records.keys, Journal: n.records.journal, Document: n.document,
		Hosts: n.hosts, Usage: n.records.addUsage, Meter: n.meter, Invariants: n.inv, Clock: n.clock, Log: n.log,
		Operator: n.operatorHandler(), Region: n.callerRegion, HostsLifetime: n.settings.HostsLifetime,
	})
	n.meter.Publish("invariants", func() any { return n.inv.Counts() })
	n.meter.Publish("open-requests", func() any { return n.front.Open() })
	n.meter.Publish("configuration-version", func() any { return n.records.rollout.Version() })
	n.meter.Publish("members", func() any { return len(n.fleet.peers.Members()) })
	n.meter.Publish("heartbeats-sent", func() any {
		datagrams, bytes := n.fleet.members.Traffic()
		return map[string]int64{"datagrams": datagrams, "bytes": bytes}
	})
	n.meter.Publish("platform-calls", func() any {
		reads, writes, watches := n.store.Calls()
		lists, orders := n.provider.Calls()
		return map[string]int64{"reads": reads + lists, "writes": writes + orders, "watches": watches}
	})
	return nil
}

func (n *Node) operatorHandler() http.Handler {
	return operator.New(operator.Deps{
		Key: n.settings.OperatorKey, Planner: n.records.planner, Keys: n.records.keys, Document: n.document,
		Status: n.Status, Settle: n.records.settle, Vars: n.meter.Handler(),
	})
}

// Start begins to serve. It returns when the listeners are open; the
// configuration may arrive later, until then requests are refused.
func (n *Node) Start(ctx context.Context) error {
	listener, err := n.listen()
	if err != nil {
		return err
	}
	n.listener = listener
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := n.fleet.start(ctx); err != nil {
		n.cancel()
		_ = listener.Close()
		return err
	}
	n.records.start(ctx)
	n.wg.Go(func() { n.followConfiguration(ctx) })
	n.wg.Go(func() { n.followPlatform(ctx) })
	n.wg.Go(func() { n.followPeers(ctx) })
	n.server = &http.Server{
		Handler: n.front, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: nil,
	}
	n.wg.Go(func() {
		if err := n.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.WithError(err).Error("listener failed")
		}
	})
	_ = n.machine.Fire(eventReady)
	n.log.WithField("address", n.Address()).Info("host serves")
	return nil
}

func (n *Node) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if n.settings.Certificate == "" {
		return listener, nil
	}
	pair, err := tls.LoadX509KeyPair(n.settings.Certificate, n.settings.PrivateKey)
	if err != nil {
		_ = listener.Close()
		return nil, errors.Wrap(err, "certificate")
	}
	return tls.NewListener(listener, &tls.Config{
		Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2", "http/1.1"}, MinVersion: tls.VersionTLS12,
	}), nil
}

// Address returns the address for callers, host:port.
func (n *Node) Address() string {
	if n.settings.Advertise != "" {
		return n.settings.Advertise
	}
	return n.listener.Addr().String()
}

// Incarnation returns the number of this process lifetime of the host.
func (n *Node) Incarnation() quetzalhook.Incarnation { return n.fleet.incarnation }

// Invariants returns the counters of the host's invariant checks.
func (n *Node) Invariants() *invariant.Registry { return n.inv }

// Meter returns the host's metrics.
func (n *Node) Meter() *meter.Meter { return n.meter }

// Version returns the number of the configuration in force, 0 for none.
func (n *Node) Version() int64 { return n.records.rollout.Version() }

// document returns the configuration in force, or nil before the first.
func (n *Node) document() *configuration.Document {
	doc, version, _ := n.records.rollout.Document()
	if version == 0 {
		return nil
	}
	return doc
}

func (n *Node) callerRegion() quetzalhook.Region { return n.region.Load().(quetzalhook.Region) }
