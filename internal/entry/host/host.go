// Package host assembles an entry host for the users' platform, which the host
// command runs. Package node assembles that of the serve command. The host serves
// callers, tells them which hosts to use, applies changes of the routing table, and
// shares the scheduling of engines and the duties with the other hosts. The duties
// are to report usage and to order upstreams.
package host

import (
	"cmp"
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
	"quetzalhook/internal/entry/budget"
	"quetzalhook/internal/entry/caller"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/entry/gateway"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/fleet/dispatcher"
	"quetzalhook/internal/fleet/isolator"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/fleet/member"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/fleet/provisioner"
	"quetzalhook/internal/fleet/registration"
	"quetzalhook/internal/fleet/release"
	"quetzalhook/internal/platform/intake"
	"quetzalhook/internal/platform/response"
	"quetzalhook/internal/record/invoice"
	"quetzalhook/internal/record/routing"
	"quetzalhook/internal/record/tally"
	"quetzalhook/internal/state/boottime"
	"quetzalhook/internal/state/calendar"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
	"quetzalhook/internal/traffic/balance"
	"quetzalhook/internal/traffic/notice"
	"quetzalhook/internal/traffic/reach"
	"quetzalhook/internal/traffic/retry"
	"quetzalhook/internal/traffic/schedule"
	"quetzalhook/internal/traffic/throttle"
)

// Adapter holds the implementations with which a host accesses its platform.
type Adapter struct {
	Store         quetzalhook.Store
	Protocol      quetzalhook.Protocol
	RoutingSource routing.Source
	// Directory returns the handler that tells callers which hosts to use; they may
	// cache a response for ttl.
	Directory func(hosts func(name string, r quetzalhook.Region, z quetzalhook.Zone) []string, ttl time.Duration) http.Handler
	Duties    Duties
	Caches    quetzalhook.CacheLister
	Mover     quetzalhook.Mover
	Crashes   quetzalhook.CrashDetector
	// InvalidResponses counts the invalid responses that the host and the adapter receive.
	InvalidResponses *response.Counts
	// Ready returns the handler of the platform's readiness check.
	Ready func(ready func() bool) http.Handler
	// ShortageRules makes customers share the engines in a shortage and bounds the
	// memory that requests use at engines.
	ShortageRules bool
}

// Duties makes the calls to the platform that only the holder of the lease may
// make: usage reports and orders of upstreams.
type Duties interface {
	invoice.Sink
	provisioner.Platform
}

// Host is an entry host with all its components.
type Host struct {
	settings setting.Host
	adapter  Adapter
	clock    boottime.Clock
	log      logrus.FieldLogger
	inv      *invariant.Registry
	meter    *meter.Meter

	started           time.Time
	incarnation       quetzalhook.Incarnation
	members           *member.Service
	peers             *peer.Service
	registry          *registration.Registry
	follower          *routing.Follower
	notices           *notice.Notices
	cold              coldLimits
	reach             *reach.Tracker
	pool              *connection.Pool
	serviceDispatcher *balance.Dispatcher
	engineDispatcher  *dispatcher.Dispatcher
	isolator          *isolator.Isolator
	builds            *release.Assigner
	splitWriter       *release.Writer
	calendar          *calendar.Clock
	usageCounter      *tally.Counter
	dutyLease         *lease.Lease
	usageReporter     *invoice.Reporter
	upstreamOrders    *provisioner.Provisioner
	gateway           *gateway.Gateway
	peerChoice        *peerChoice
	peerServer        *http.Server
	plan              budget.Plan
	callerMemory      *caller.Memory

	servers        []*http.Server
	listeners      map[*http.Server]func(net.Listener) net.Listener // of smallServer
	callerServer   *http.Server
	callerListener *caller.Listener
	draining       atomic.Bool
	memberSnapshot atomic.Pointer[memberSnapshot]
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

// New assembles a host without starting it. Hosts use secret to authenticate each
// other.
func New(settings setting.Host, secret string, adapter Adapter, log logrus.FieldLogger) (*Host, error) {
	clock, err := boottime.New()
	if err != nil {
		return nil, err
	}
	log = log.WithField("host", settings.Host)
	h := &Host{settings: settings, adapter: adapter, clock: clock, started: clock.Now(), log: log, listeners: make(map[*http.Server]func(net.Listener) net.Listener), inv: invariant.New(log), meter: meter.New()}
	if err := h.assembleFleet(secret); err != nil {
		return nil, err
	}
	h.follower = routing.New(settings.Host, adapter.Store, h.peers, adapter.RoutingSource, clock, log, h.inv, routing.WithSettled(h.settled(watchSettleTime)))
	h.notices = notice.New(notice.WithReport(h.logNotice))
	h.plan = budget.NewPlan(settings.Memory(), settings.MaxFDs, false)
	h.callerMemory = caller.NewMemory(h.plan, log)
	h.assembleColdLimits()
	h.reach = reach.New()
	h.pool = connection.NewPool(clock, connection.WithLimit(h.plan.Upstream), connection.WithBudget(intake.NewBudget(settings.Memory(), intake.AnswerShare)), connection.WithCounts(adapter.InvalidResponses),
		connection.WithDialed(h.recordDial))
	budget := retry.New(settings.RetryRatio, settings.RetrySlack, setting.Seconds(settings.RetryWindowS), h.hostCount)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h.serviceDispatcher = balance.NewDispatcher(balance.New(settings.Region, random, balance.WithLimits(throttle.New(throttle.WithRank(h.limitRank), throttle.WithCold(h.cold.services))), balance.WithNotices(h.notices), balance.WithReach(h.reach)), budget, clock)
	h.engineDispatcher = dispatcher.New(dispatcher.Settings{
		Host: settings.Host, Leader: h.leader, LimitRank: h.limitRank, Position: h.position, Usable: h.follower.IsUsable, Evacuated: h.follower.IsEvacuated,
		Calls: h.serviceDispatcher, Notices: h.notices, Reach: h.reach, Starts: h.startsOrNil(), Cold: h.cold.engines,
		Budget: retry.New(settings.RetryRatio, settings.RetrySlack, setting.Seconds(settings.RetryWindowS), h.hostCount),
		Caches: adapter.Caches, Settled: h.settled(cacheSettleTime),
		Shortage: adapter.ShortageRules, KnownHosts: h.knownHosts, MemoryRank: h.memoryRank,
		Relieve: func(r schedule.Relief) { h.gateway.Relieve(r.Request, r.Upstream, r.End) },
	}, h.peers, clock, log)
	h.isolator = isolator.New(isolator.Settings{
		Host: settings.Host, Next: h.engineDispatcher, Detector: adapter.Crashes, Store: adapter.Store,
		Leader: func() quetzalhook.HostID { return h.leader(0) }, Duration: setting.Seconds(settings.QuarantineS),
	}, h.peers, clock, log)
	h.builds = release.NewAssigner(h.follower, clock)
	h.splitWriter = release.NewWriter(release.Settings{
		Host: settings.Host, Store: adapter.Store, Leader: h.splitLeader, Follower: h.follower, Starts: h.startsOrNil(),
	}, clock, log)
	if err := h.assembleDuties(); err != nil {
		return nil, err
	}
	h.peerChoice = newPeerChoice(settings.Zone, settings.Region, h.members.Members, h.peers.ClientTLS, clock)
	h.gateway = gateway.New(gateway.Deps{
		Tables: h.follower, Protocol: adapter.Protocol, Dispatcher: h, Pool: h.pool, HostCount: h.hostCount,
		Reaching: h.reach.Reaching, Peers: h.peerChoice, Mover: adapter.Mover, Builds: h.builds, Usable: h.follower.IsUsable, DefaultLeaveTime: time.Duration(settings.LeaveMS) * time.Millisecond,
		StallLimit: setting.Seconds(settings.StallS), Memory: h.callerMemory, Connections: h.plan.Connections,
		CountUsage: h.usageCounter.Add, Observer: observer{h.meter}, Region: settings.Region, Clock: clock, Log: log,
	})
	h.publishMetrics()
	return h, nil
}

// eraCounter is implemented by a store that may come back from an older copy: Eras returns
// the number of the newest copy and how often the store has come back.
type eraCounter interface {
	Eras() (newest, returns int64)
}

// publishMetrics registers metrics that show the current state of the host.
func (h *Host) publishMetrics() {
	h.meter.Publish("open-requests", func() any { return h.gateway.Open() })
	h.meter.Publish("invalid-responses", func() any { return h.adapter.InvalidResponses.Snapshot() })
	h.meter.Publish("connections-opened", func() any { return h.pool.Opened() })
	h.meter.Publish("connections-failed", func() any { return h.pool.Failed() })
	h.meter.Publish("hosts", func() any { return h.hostCount() })
	h.meter.Publish("leader", func() any { return h.leader(0) })
	h.meter.Publish("assign-calls", func() any { return h.engineDispatcher.AssignCalls() })
	h.meter.Publish("share-decisions", func() any { return h.engineDispatcher.Shares() })
	h.meter.Publish("memory-reliefs", func() any { return h.engineDispatcher.Reliefs() })
	h.meter.Publish("quarantines", func() any { return h.isolator.Quarantines() })
	h.meter.Publish("quarantine-refusals", func() any { return h.isolator.Refused() })
	h.meter.Publish("engine-crashes", func() any { return h.isolator.Crashes() })
	h.meter.Publish("table-revision", func() any { table, _ := h.follower.Versions(); return quetzalhook.Version(table).Revision() })
	h.meter.Publish("table-version", func() any { return h.follower.TableVersion() })
	h.meter.Publish("split-epochs", func() any { return h.follower.SplitEpochs() })
	h.meter.Publish("take-ups-known", func() any { known, _ := h.builds.TakeUps(); return known })
	h.meter.Publish("take-ups-unknown", func() any { _, unknown := h.builds.TakeUps(); return unknown })
	if h.settings.EvacuateMS > 0 {
		h.meter.Publish("zones-evacuated", func() any { return h.follower.EvacuatedZones() })
	}
	h.meter.Publish("pulls", func() any {
		failed, answers, bytes := h.follower.PullCounts()
		return map[string]int64{"failed": failed, "answers": answers, "answered-bytes": bytes}
	})
	h.meter.Publish("ignored", func() any {
		tables, upstreams := h.follower.IgnoredCounts()
		return map[string]int64{"tables": tables, "upstreams": upstreams}
	})
	if store, ok := h.adapter.Store.(eraCounter); ok {
		h.meter.Publish("store-era", func() any { era, _ := store.Eras(); return quetzalhook.EraNumber(era) })
		h.meter.Publish("store-returns", func() any { _, returns := store.Eras(); return returns })
	}
	h.meter.Publish("store-age-ms", func() any { return h.follower.StoreAge().Milliseconds() })
	h.meter.Publish("cut-off", func() any { return h.reach.IsCutOff() })
	h.meter.Publish("upstreams-leaving", func() any { leaving, _ := h.notices.Counts(h.clock.Now()); return leaving })
	h.meter.Publish("upstreams-paused", func() any { _, paused := h.notices.Counts(h.clock.Now()); return paused })
	h.callerMemory.Publish(h.meter.Publish)
	h.meter.Publish("engine-speeds", func() any { return h.engineDispatcher.Speeds() })
	h.meter.Publish("service-speeds", func() any { return h.serviceDispatcher.Speeds() })
	h.meter.Publish("invariants", func() any { return h.inv.Counts() })
}

// assembleFleet creates the components that communicate with other hosts. A
// restarted host needs a larger incarnation than before. Since no host stores its
// incarnation, it is taken from the wall clock.
func (h *Host) assembleFleet(secret string) error {
	s := h.settings
	incarnation := quetzalhook.Incarnation(time.Now().UnixNano())
	h.incarnation = incarnation
	heartbeat, calls := s.Heartbeat(s.IP()), s.Peer(s.IP())
	advertised := cmp.Or(s.PeerAdvertise, calls)
	h.registry = registration.New(h.adapter.Store, quetzalhook.HostStatus{
		Host: s.Host, Incarnation: incarnation, Zone: s.Zone, HeartbeatAddress: heartbeat, PeerAddress: advertised,
		Region: s.Region, Address: s.Listen.Callers, Processors: s.ProcessorShare * s.Processors,
	}, h.log)
	h.members = member.NewService(member.Settings{
		Self: member.Self{
			Host: s.Host, Incarnation: incarnation, Zone: s.Zone, Region: s.Region,
			Address: s.Listen.Callers, Heartbeat: heartbeat, Peer: advertised, Processors: s.ProcessorShare * s.Processors,
		},
		Listen: heartbeat, Secret: []byte(secret), Seeds: s.SeedHeartbeats(), Report: h.report, Hosts: h.registry, StaleHosts: h.registry.StaleHosts,
	}, h.clock, h.log)
	var err error
	h.peers, err = peer.NewService(peer.Settings{
		Host: s.Host, Listen: calls, Secret: []byte(secret), Directory: h.members,
	}, h.clock, h.log)
	return err
}

// Start starts all components, opens the listeners and serves. The host runs until
// Stop or Close is called, even if ctx ends before.
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
	h.engineDispatcher.Start()
	h.isolator.Start()
	h.splitWriter.Start()
	h.usageCounter.Start()
	h.dutyLease.Start()
	h.wg.Go(func() { h.runDuties(ctx) })
	h.wg.Go(func() { h.followUpstreams(ctx) })
	h.wg.Go(func() { h.checkReach(ctx) })
	h.callerServer = &http.Server{
		Handler: h.gateway, ReadHeaderTimeout: longHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil,
	}
	h.gateway.Attach(h.callerServer)
	h.servePeers(ctx)
	directory := h.adapter.Directory(h.hosts, listTTL(h.settings))
	for address, server := range map[string]*http.Server{
		h.settings.Listen.Callers:           h.callerServer,
		h.settings.Listen.Ready:             h.smallServer(h.adapter.Ready(h.ready)),
		h.settings.Listen.Directory:         h.smallServer(directory),
		h.settings.Metrics(h.settings.IP()): h.smallServer(h.meter.Handler()),
	} {
		if err := h.serve(ctx, address, server); err != nil {
			return err
		}
	}
	h.log.WithField("zone", h.settings.Zone).WithField("callers", h.settings.Listen.Callers).Info("host started")
	return nil
}

const (
	// longHeaderTimeout is the server's own limit for a request header. Package caller
	// applies the shorter one of the routing table, which may change.
	longHeaderTimeout = 5 * time.Minute
	// maxHeaderBytes limits the size of the request header. The routing table may set
	// a smaller limit.
	maxHeaderBytes = caller.DefaultHeaderBytes
	// requestTimeout limits the time in which a request to a listener other than that
	// for callers must arrive. Such requests have no body.
	requestTimeout = 10 * time.Second
	// maxSmallHeader limits its header.
	maxSmallHeader = 16 << 10
	// smallIdleTimeout is how long a connection to such a listener is kept. Callers ask
	// for the list of hosts every second.
	smallIdleTimeout = time.Minute
)

// smallServer returns a server for a listener that serves no requests of callers.
func (h *Host) smallServer(handler http.Handler) *http.Server {
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, IdleTimeout: longHeaderTimeout, MaxHeaderBytes: maxSmallHeader,
	}
	conns := caller.NewConns(func() caller.Limits {
		return caller.Limits{HeaderBytes: maxSmallHeader, HeaderTime: requestTimeout, IdleTime: smallIdleTimeout}
	}, caller.WithMemory(h.callerMemory, h.plan.Other))
	conns.Attach(s)
	h.listeners[s] = conns.Listen
	return s
}

// serve opens a listener and serves it in a goroutine.
func (h *Host) serve(ctx context.Context, address string, server *http.Server) error {
	var l net.Listener
	var err error
	if server == h.callerServer {
		h.callerListener, err = caller.Listen(ctx, address)
		l = h.callerListener
	} else {
		l, err = net.Listen("tcp", address)
	}
	if err != nil {
		return errors.WithStack(err)
	}
	if server == h.callerServer {
		l = h.gateway.Listen(l)
	} else {
		l = h.listeners[server](l)
	}
	h.servers = append(h.servers, server)
	h.wg.Go(func() {
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) && !(h.draining.Load() && errors.Is(err, net.ErrClosed)) {
			h.log.WithError(err).WithField("address", address).Error("listener failed")
		}
	})
	return nil
}

const (
	// minUpdateInterval is the shortest time between two updates of the
	// dispatchers' lists of upstreams. updateIntervalPerUpstream is added for each
	// upstream, since building a list of 3,000 takes several ms. While the list is
	// outdated, no request is sent to an engine that has left, since each engine is
	// checked before it is used.
	minUpdateInterval         = 20 * time.Millisecond
	updateIntervalPerUpstream = 20 * time.Microsecond
)

// followUpstreams passes each new list of upstreams to the dispatchers and the
// gateway until ctx ends.
func (h *Host) followUpstreams(ctx context.Context) {
	for {
		noticed := h.notices.Changed()
		table, changed := h.follower.Table()
		wait := minUpdateInterval
		if table != nil {
			list := h.follower.Upstreams()
			h.observeStarts(table, list)
			h.notices.Retain(h.clock.Now(), list)
			list = h.notices.Mark(list)
			wait += time.Duration(len(list)) * updateIntervalPerUpstream
			engines, services := splitByKind(table, list)
			h.serviceDispatcher.SetUpstreams(services)
			h.engineDispatcher.SetUpstreams(engines)
			h.gateway.SetUpstreams(engines)
			h.builds.SetUpstreams(engines)
		}
		if !timing.Sleep(ctx, wait) {
			return
		}
		select {
		case <-changed:
		case <-noticed:
		case <-ctx.Done():
			return
		}
	}
}

// logNotice logs what an upstream asks of this host.
func (h *Host) logNotice(c notice.Change) {
	from := c.From
	if from == "" {
		from = h.settings.Host
	}
	fields := logrus.Fields{"upstream": c.Upstream, "notice": c.Word, "from": from, "age-ms": c.Age.Milliseconds()}
	if c.Word == notice.Pause {
		fields["pause-ms"] = c.For.Milliseconds()
	}
	if c.Text != "" {
		h.log.WithFields(fields).WithField("value", c.Text).Warn("notice of an upstream with an odd value")
		return
	}
	h.log.WithFields(fields).Info("notice of an upstream")
}

// splitByKind splits a list of upstreams into engines and plain services. It adds
// the engine settings of the routing table to the engines.
func splitByKind(table *routing.Table, list []quetzalhook.Upstream) (engines, services []quetzalhook.Upstream) {
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

// Submit implements quetzalhook.Dispatcher. Requests to engines are scheduled by
// one leader for all hosts; requests to plain services are dispatched by this host
// alone.
func (h *Host) Submit(ctx context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	if t, _ := h.follower.Table(); t != nil {
		if s := t.Service(r.Service); s != nil && s.Engine != nil {
			return h.isolator.Submit(ctx, r)
		}
	}
	return h.serviceDispatcher.Submit(ctx, r)
}

// splitLeader returns the host that writes the splits of services. A host that has just
// started may know too few upstreams and hosts.
func (h *Host) splitLeader() quetzalhook.HostID {
	if !h.settled(watchSettleTime)() {
		return ""
	}
	return h.leader(0)
}

// report returns the state of this host that it sends in heartbeats.
func (h *Host) report() member.Report {
	h.observePlaces()
	table, upstreams := h.follower.Versions()
	return member.Report{
		Draining: h.draining.Load(), Unready: !h.hasTable(), CutOff: h.reach.IsCutOff(), ConfigVersion: table, UpstreamVersion: upstreams,
		TableVersion: h.follower.TableVersion(), Kept: h.follower.Kept(),
		EvacuationVersion: h.follower.EvacuationVersion(), SplitVersion: h.follower.SplitVersion(),
		StoreAge: h.follower.StoreAge(), Eligible: h.eligibleRoles(), Active: h.activeRoles(),
	}
}

// eligibleRoles returns the roles that this host takes up if the others choose it.
func (h *Host) eligibleRoles() quetzalhook.Roles {
	var roles quetzalhook.Roles
	if h.follower.Eligible() {
		roles |= quetzalhook.RoleStoreWatcher
	}
	if h.settled(leaseSettleTime)() {
		roles |= quetzalhook.RoleLeaseCandidate
	}
	return roles
}

// activeRoles returns the roles that this host performs.
func (h *Host) activeRoles() quetzalhook.Roles {
	if h.follower.Watches() {
		return quetzalhook.RoleStoreWatcher
	}
	return 0
}

// These are the times after its start for which a host leaves to others what only few
// hosts do. Until it has heard most other hosts, it would take all of this on itself.
const (
	// watchSettleTime is the wait before it watches the store. It is shorter than the
	// 4 s after which a started host must know a changed configuration.
	watchSettleTime = 3 * time.Second
	// leaseSettleTime is the wait before it competes for the lease. It is short because
	// no upstreams are ordered until a host holds the lease.
	leaseSettleTime = time.Second
	// cacheSettleTime is the wait before it reads the caches of engines. A fleet of 300
	// hosts needs six seconds until all of them agree on the leaders.
	cacheSettleTime = 6 * time.Second
)

// settled returns a function that reports whether this host has run for d.
func (h *Host) settled(d time.Duration) func() bool {
	return func() bool { return h.clock.Now().Sub(h.started) >= d }
}

// hasTable reports whether this host has a routing table.
func (h *Host) hasTable() bool {
	t, _ := h.follower.Table()
	return t != nil
}

// ready reports whether this host accepts requests: it has a routing table and is
// not stopping.
func (h *Host) ready() bool { return h.hasTable() && !h.draining.Load() }

// hostCount returns the number of hosts that share limits, including this one.
func (h *Host) hostCount() int {
	n := 1
	for _, m := range h.members.Members() {
		if m.IsAlive(maxSharingSilence) {
			n++
		}
	}
	return n
}

// observer records the results of requests in the metrics.
type observer struct{ meter *meter.Meter }

// Served implements gateway.Observer.
func (o observer) Served(class quetzalhook.Class, customer quetzalhook.CustomerID, ttft, gap time.Duration, tokens int) {
	o.meter.Served(meter.Result{Customer: customer, Class: class, FirstToken: ttft, Gap: gap, Tokens: tokens})
}

// Failed implements gateway.Observer.
func (o observer) Failed(class quetzalhook.Class, customer quetzalhook.CustomerID, kind string) {
	o.meter.Refused(customer, class.Name())
	o.meter.Add("errors-"+kind, 1)
}
