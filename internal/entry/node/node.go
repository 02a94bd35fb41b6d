// Package node assembles the entry host that the serve command runs. Package host
// assembles that of the host command. Node starts the components, passes them
// changes of the configuration, the upstreams and the other hosts, and stops them
// without interrupting requests.
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
	"quetzalhook/internal/entry/budget"
	"quetzalhook/internal/entry/caller"
	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/operator"
	"quetzalhook/internal/entry/probe"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/platform/provider"
	"quetzalhook/internal/platform/response"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/state/boottime"
	"quetzalhook/internal/state/chart"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/placement"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	// maxStreams bounds the concurrent requests on an HTTP/2 connection, and
	// streamBuffer what it keeps of bodies that are not read yet, in bytes. Both are
	// part of budget.TLSConnectionMemory.
	maxStreams   = 100
	streamBuffer = 64 << 10
	// drainNotice is how long, after the lifetime of the lists of hosts, a stopping
	// host waits before it starts to close connections. In this time the heartbeats
	// that announce the stop reach the other hosts.
	drainNotice = time.Second
)

// Node is an entry host with all its components.
type Node struct {
	settings    setting.Settings
	log         logrus.FieldLogger
	clock       quetzalhook.Clock
	meter       *meter.Meter
	inv         *invariant.Registry
	machine     *chart.Machine
	store       Store
	provider    *provider.Client
	broker      *broker.Broker
	planner     *placement.Planner // nil for the baseline policy
	pool        *relay.Pool
	relay       *relay.Relay
	prober      *probe.Prober
	front       *front.Front
	server      *http.Server
	listener    net.Listener // tcpListener, or TLS on top of it
	tcpListener *caller.Listener
	callers     *caller.Conns
	memory      *caller.Memory
	records     *records
	fleet       *fleet

	region   atomic.Value // quetzalhook.Region
	draining atomic.Bool
	listed   atomic.Pointer[[]quetzalhook.Upstream] // the last list read from the platform
	free     atomic.Uint64                          // result of freeCapacity, as float64 bits

	applyMu sync.Mutex
	applied []quetzalhook.Upstream // the upstreams in use; guarded by applyMu

	cancel   context.CancelFunc
	wg       sync.WaitGroup
	stopOnce sync.Once
}

// Store is the platform's store with the methods that a host needs.
type Store interface {
	quetzalhook.Store
	// Calls returns the number of calls made so far.
	Calls() (reads, writes, watches int64)
	// Close cancels the calls in progress.
	Close()
}

// New assembles a host without starting it. The host closes store when it stops. If
// the settings are invalid, New returns a *setting.Error that lists all mistakes.
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
	counts := new(response.Counts)
	n := &Node{
		settings: settings, log: log, clock: boottime.Clock{}, meter: meter.New(), inv: invariant.New(log),
		store: store, provider: provider.New(settings.Platform, log, provider.WithCounts(counts)), pool: relay.NewPool(relay.WithCounts(counts)),
	}
	n.meter.Publish("invalid-responses", func() any { return counts.Snapshot() })
	n.region.Store(quetzalhook.Region(""))
	plan := budget.NewPlan(settings.Memory(), settings.MaxFDs, settings.Certificate != "")
	n.memory = caller.NewMemory(plan, log)
	n.callers = caller.NewConns(nil, caller.WithMemory(n.memory, plan.Connections))
	if err := n.build(); err != nil {
		_ = n.memory.Close()
		return nil, err
	}
	return n, nil
}

// build creates the components of the host and publishes their metrics.
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
		Hosts: n.hosts, RecordUsage: n.records.addUsage, Meter: n.meter, Invariants: n.inv, Clock: n.clock, Log: n.log,
		Operator: n.operatorHandler(), Region: n.hostRegion, HostsLifetime: n.settings.HostsLifetime,
		Memory: n.memory,
	})
	n.memory.Publish(n.meter.Publish)
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

// Start starts all components and serves. It returns when the listeners are open.
// Requests are refused until the host has received a configuration. The host runs
// until Stop or Kill is called, even if ctx ends before.
func (n *Node) Start(ctx context.Context) error {
	listener, err := n.listen(ctx)
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
	n.wg.Go(func() { n.watchConfiguration(ctx) })
	n.wg.Go(func() { n.pollPlatform(ctx) })
	n.wg.Go(func() { n.syncPeers(ctx) })
	n.server = &http.Server{
		Handler: n.front, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: caller.DefaultHeaderBytes,
		ErrorLog: nil, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: streamBuffer, MaxReceiveBufferPerStream: streamBuffer},
	}
	n.callers.Attach(n.server)
	n.wg.Go(func() {
		err := n.server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !(n.draining.Load() && errors.Is(err, net.ErrClosed)) {
			n.log.WithError(err).Error("listener failed")
		}
	})
	_ = n.machine.Fire(eventReady)
	n.log.WithField("address", n.Address()).Info("host listening")
	return nil
}

// listen opens the listener for callers, with TLS if a certificate is set.
func (n *Node) listen(ctx context.Context) (net.Listener, error) {
	listener, err := caller.Listen(ctx, n.settings.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	n.tcpListener = listener
	bounded := n.callers.Listen(listener)
	if n.settings.Certificate == "" {
		return bounded, nil
	}
	pair, err := tls.LoadX509KeyPair(n.settings.Certificate, n.settings.PrivateKey)
	if err != nil {
		_ = listener.Close()
		return nil, errors.Wrap(err, "certificate")
	}
	return tls.NewListener(bounded, &tls.Config{
		Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2", "http/1.1"}, MinVersion: tls.VersionTLS12,
	}), nil
}

// Address returns the address that callers use, host:port.
func (n *Node) Address() string {
	if n.settings.Advertise != "" {
		return n.settings.Advertise
	}
	return n.listener.Addr().String()
}

// Incarnation returns the incarnation of the host, which is larger after each
// restart.
func (n *Node) Incarnation() quetzalhook.Incarnation { return n.fleet.incarnation }

// Invariants returns the counters of the host's invariant checks.
func (n *Node) Invariants() *invariant.Registry { return n.inv }

// Meter returns the host's metrics.
func (n *Node) Meter() *meter.Meter { return n.meter }

// Version returns the version of the configuration in force, or 0 if there is none.
func (n *Node) Version() int64 { return n.records.rollout.Version() }

// document returns the configuration in force, or nil if there is none.
func (n *Node) document() *configuration.Document {
	doc, version, _ := n.records.rollout.Document()
	if version == 0 {
		return nil
	}
	return doc
}

// hostRegion returns the region of this host, "" before the first configuration.
func (n *Node) hostRegion() quetzalhook.Region { return n.region.Load().(quetzalhook.Region) }
