// Package host assembles an entry host on the users' platform: it serves
// callers, tells them which hosts to use, follows the configuration, and
// shares the control work with the other hosts.
package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/entry/gateway"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/fleet/dispatcher"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/fleet/member"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/fleet/provisioner"
	"quetzalhook/internal/fleet/registration"
	"quetzalhook/internal/record/invoice"
	"quetzalhook/internal/record/routing"
	"quetzalhook/internal/record/tally"
	"quetzalhook/internal/state/boottime"
	"quetzalhook/internal/state/calendar"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
	"quetzalhook/internal/traffic/balance"
	"quetzalhook/internal/traffic/retry"
)

// Adapter is how a host reaches its platform.
type Adapter struct {
	Store    quetzalhook.Store
	Protocol quetzalhook.Protocol
	Records  routing.Source
	// Directory answers callers that ask which hosts to use.
	Directory func(hosts func(quetzalhook.Region, quetzalhook.Zone) []string, life time.Duration) http.Handler
	Duties    Duties
	Caches    quetzalhook.CacheLister
	Mover     quetzalhook.Mover
	// Ready answers the platform's question whether the host takes requests.
	Ready func(ready func() bool) http.Handler
}

// Duties makes the calls of which the platform expects one sender at a time.
type Duties interface {
	invoice.Sink
	provisioner.Platform
}

// Host is one entry host.
type Host struct {
	settings setting.Host
	adapter  Adapter
	clock    boottime.Clock
	log      logrus.FieldLogger
	inv      *invariant.Registry
	meter    *meter.Meter

	incarnation quetzalhook.Incarnation
	members     *member.Service
	peers       *peer.Service
	registry    *registration.Registry
	follower    *routing.Follower
	pool        *connection.Pool
	services    *balance.Dispatcher
	engines     *dispatcher.Dispatcher
	calendar    *calendar.Clock
	counter     *tally.Counter
	duty        *lease.Lease
	reporter    *invoice.Reporter
	orders      *provisioner.Provisioner
	gateway     *gateway.Gateway

	servers  []*http.Server
	callers  *http.Server
	draining atomic.Bool
	roster   atomic.Pointer[roster]
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a host that is not started.
func New(settings setting.Host, secret string, adapter Adapter, log logrus.FieldLogger) (*Host, error) {
	clock, err := boottime.New()
	if err != nil {
		return nil, err
	}
	log = log.WithField("host", settings.Host)
	h := &Host{settings: settings, adapter: adapter, clock: clock, log: log, inv: invariant.New(log), meter: meter.New()}
	if err := h.assembleFleet(secret); err != nil {
		return nil, err
	}
	h.follower = routing.New(settings.Host, adapter.Store, h.peers, adapter.Records, clock, log, h.inv)
	h.pool = connection.NewPool(clock)
	budget := retry.New(settings.RetryRatio, settings.RetrySlack, setting.Seconds(settings.RetryWindowS), h.hostCount)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h.services = balance.NewDispatcher(balance.New(settings.Region, random), budget, clock)
	h.engines = dispatcher.New(dispatcher.Settings{
		Host: settings.Host, Leader: h.leader, Position: h.position, Usable: h.follower.IsUsable,
		Budget: retry.New(settings.RetryRatio, settings.RetrySlack, setting.Seconds(settings.RetryWindowS), h.hostCount),
		Caches: adapter.Caches,
	}, h.peers, clock, log)
	if err := h.assembleDuties(); err != nil {
		return nil, err
	}
	h.gateway = gateway.New(gateway.Deps{
		Tables: h.follower, Protocol: adapter.Protocol, Dispatcher: h, Pool: h.pool, Hosts: h.hostCount,
		Mover: adapter.Mover, LeaveTime: time.Duration(settings.LeaveMS) * time.Millisecond,
		Began: h.counter.Add, Observer: observer{h.meter}, Region: settings.Region, Clock: clock, Log: log,
	})
	h.publish()
	return h, nil
}

// publish adds the state of the host to its metrics.
func (h *Host) publish() {
	h.meter.Publish("open-requests", func() any { return h.gateway.Open() })
	h.meter.Publish("hosts", func() any { return h.hostCount() })
	h.meter.Publish("leader", func() any { return h.leader(0) })
	h.meter.Publish("table-revision", func() any { revision, _ := h.follower.Versions(); return revision })
	h.meter.Publish("store-age-ms", func() any { return h.follower.StoreAge().Milliseconds() })
	h.meter.Publish("invariants", func() any { return h.inv.Counts() })
}

// assembleFleet makes the parts that talk to other hosts. A restarted host
// needs a larger incarnation, which only wall-clock time gives without a place
// to keep the last one.
func (h *Host) assembleFleet(secret string) error {
	s := h.settings
	incarnation := quetzalhook.Incarnation(time.Now().UnixNano())
	h.incarnation = incarnation
	heartbeat, calls := s.Heartbeat(s.IP()), s.Peer(s.IP())
	h.registry = registration.New(h.adapter.Store, quetzalhook.HostStatus{
		Host: s.Host, Incarnation: incarnation, Zone: s.Zone, HeartbeatAddress: heartbeat, PeerAddress: calls,
		Region: s.Region, Address: s.Listen.Callers, Processors: s.ProcessorShare * s.Processors,
	}, h.log)
	h.members = member.NewService(member.Settings{
		Self: member.Self{
			Host: s.Host, Incarnation: incarnation, Zone: s.Zone, Region: s.Region,
			Address: s.Listen.Callers, Heartbeat: heartbeat, Peer: calls, Processors: s.ProcessorShare * s.Processors,
		},
		Listen: heartbeat, Secret: []byte(secret), Seeds: s.SeedHeartbeats(), Report: h.report, Hosts: h.registry,
	}, h.clock, h.log)
	var err error
	h.peers, err = peer.NewService(peer.Settings{
		Host: s.Host, Listen: calls, Secret: []byte(secret), Directory: h.members,
	}, h.clock, h.log)
	return err
}

// Start opens all listeners and begins to serve.
func (h *Host) Start(ctx context.Context) error {
	ctx, h.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := h.peers.Start(ctx); err != nil {
		return err
	}
	if err := h.members.Start(ctx); err != nil {
		return err
	}
	h.registry.Start()
	h.follower.Start()
	h.engines.Start()
	h.counter.Start()
	h.duty.Start()
	h.wg.Go(func() { h.runDuties(ctx) })
	h.wg.Go(func() { h.followUpstreams(ctx) })
	h.callers = &http.Server{
		Handler: h.gateway, ConnState: h.gateway.ConnState, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: nil,
	}
	control := h.adapter.Directory(h.hosts, answerLife(h.settings))
	for address, server := range map[string]*http.Server{
		h.settings.Listen.Callers:           h.callers,
		h.settings.Listen.Ready:             {Handler: h.adapter.Ready(h.ready), ReadHeaderTimeout: headerTimeout},
		h.settings.Listen.Directory:         {Handler: control, ReadHeaderTimeout: headerTimeout},
		h.settings.Metrics(h.settings.IP()): {Handler: h.meter.Handler(), ReadHeaderTimeout: headerTimeout},
	} {
		if err := h.serve(address, server); err != nil {
			return err
		}
	}
	h.log.WithField("zone", h.settings.Zone).WithField("callers", h.settings.Listen.Callers).Info("host started")
	return nil
}

const (
	// headerTimeout bounds how long a caller may take to send the header.
	headerTimeout = 10 * time.Second
	// maxHeader bounds a header in bytes; the table may set a smaller limit.
	maxHeader = 64 << 10
)

func (h *Host) serve(address string, server *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	h.servers = append(h.servers, server)
	h.wg.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.WithError(err).WithField("address", address).Error("listener failed")
		}
	})
	return nil
}

const (
	// collectTime is how long changes of upstreams are collected before the
	// dispatchers get a new list, collectPerUpstream how much longer for each
	// upstream: making the list of 3,000 takes some ms. Requests are not sent to
	// engines that have left meanwhile, since each is checked before it is used.
	collectTime        = 20 * time.Millisecond
	collectPerUpstream = 20 * time.Microsecond
)

// followUpstreams hands new lists of upstreams to the dispatchers.
func (h *Host) followUpstreams(ctx context.Context) {
	for {
		table, changed := h.follower.Table()
		wait := collectTime
		if table != nil {
			list := h.follower.Upstreams()
			wait += time.Duration(len(list)) * collectPerUpstream
			engines, services := divide(table, list)
			h.services.SetUpstreams(services)
			h.engines.SetUpstreams(engines)
			h.gateway.SetUpstreams(engines)
		}
		if !timing.Sleep(ctx, wait) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// divide returns the engines, with what the table says of them, and the
// upstreams of plain services.
func divide(table *routing.Table, list []quetzalhook.Upstream) (engines, services []quetzalhook.Upstream) {
	for _, u := range list {
		s := table.Service(u.Service)
		if s == nil || s.Engine == nil {
			u.Kind = quetzalhook.KindService
			services = append(services, u)
			continue
		}
		u.Kind, u.MemoryTokens, u.EventTokens = quetzalhook.KindEngine, s.Engine.MemoryTokens, s.Engine.EventTokens
		u.TokenTransfer = s.Engine.TokenTransfer()
		engines = append(engines, u)
	}
	return engines, services
}

// Submit implements quetzalhook.Dispatcher: requests to engines are placed for
// all hosts together, those to plain services by each host.
func (h *Host) Submit(ctx context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	if t, _ := h.follower.Table(); t != nil {
		if s := t.Service(r.Service); s != nil && s.Engine != nil {
			return h.engines.Submit(ctx, r)
		}
	}
	return h.services.Submit(ctx, r)
}

// report returns what the heartbeats tell of this host.
func (h *Host) report() member.Report {
	table, upstreams := h.follower.Versions()
	return member.Report{
		Draining: h.draining.Load(), Unready: !h.hasTable(), ConfigVersion: table, UpstreamVersion: upstreams,
		StoreAge: h.follower.StoreAge(),
	}
}

func (h *Host) hasTable() bool {
	t, _ := h.follower.Table()
	return t != nil
}

// ready reports whether this host takes requests.
func (h *Host) ready() bool { return h.hasTable() && !h.draining.Load() }

// hostCount returns the number of hosts that are alive, this one included.
func (h *Host) hostCount() int {
	n := 1
	for _, m := range h.members.Members() {
		if m.IsAlive(forgetLimit) {
			n++
		}
	}
	return n
}

// observer passes results on to the metrics.
type observer struct{ meter *meter.Meter }

// Served implements gateway.Observer.
func (o observer) Served(class quetzalhook.Class, customer quetzalhook.CustomerID, first, gap time.Duration, tokens int) {
	o.meter.Served(meter.Result{Customer: customer, Class: class, FirstToken: first, Gap: gap, Tokens: tokens})
}

// Failed implements gateway.Observer.
func (o observer) Failed(class quetzalhook.Class, customer quetzalhook.CustomerID, kind string) {
	o.meter.Refused(customer, class.Name())
	o.meter.Add("errors-"+kind, 1)
}
