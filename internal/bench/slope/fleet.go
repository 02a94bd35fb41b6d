package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/node"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/standin/cloud"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/standin/socket"
	"quetzalhook/platform"
)

const (
	// engineCount is the number of simulated engines. If there are more upstreams,
	// several of them share an engine and its address.
	engineCount      = 4
	slotsPerUpstream = 8
	modelName        = "model"
	peerSecret       = "slope-peer-secret-0123456789"
	operatorKey      = "slope-operator-key-0123456789"
	hostsLifetime    = time.Second
)

// fleet holds the hosts, the simulated platform and the simulated engines of one
// run.
type fleet struct {
	settings        Settings
	platform        *platformCalls
	servers         []*socket.Server
	engines         []*engine.Engine
	polls           atomic.Int64 // GET requests to the engines
	platformAddress string
	engineAddresses []string // one for each simulated engine
	nodes           []*node.Node
	client          *http.Client
	secret          string       // key of the first customer
	served          atomic.Int64 // answered chat requests
	failed          atomic.Int64 // chat requests that failed
}

// newFleet starts the simulated engines and the simulated platform.
func newFleet(s Settings) (*fleet, error) {
	f := &fleet{settings: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for range engineCount {
		e := engine.New(engine.WithSlots(slotsPerUpstream*s.Upstreams), engine.WithTokenRate(2000))
		f.engines = append(f.engines, e)
		if err := f.startServer(f.countPolls(e.Handler()), &f.engineAddresses); err != nil {
			return nil, err
		}
	}
	f.platform = &platformCalls{next: cloud.New(cloud.WithUpstreams(f.listedUpstreams())).Handler(), counts: make(map[string]int64)}
	var address []string
	err := f.startServer(f.platform, &address)
	if err != nil {
		return nil, err
	}
	f.platformAddress = address[0]
	return f, nil
}

// startServer serves h on a free loopback port and appends the address to
// addresses. If it fails, it closes the fleet.
func (f *fleet) startServer(h http.Handler, addresses *[]string) error {
	server := socket.New(h)
	f.servers = append(f.servers, server)
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		f.close()
		return err
	}
	*addresses = append(*addresses, address)
	return nil
}

// countPolls counts GET requests to the engines; chat requests use POST.
func (f *fleet) countPolls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			f.polls.Add(1)
		}
		next.ServeHTTP(w, r)
	})
}

func (f *fleet) zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%f.settings.Zones) }

func upstreamName(i int) string { return fmt.Sprintf("engine-%05d", i) }

// listedUpstreams returns the upstreams in the platform's list.
func (f *fleet) listedUpstreams() []quetzalhook.Upstream {
	list := make([]quetzalhook.Upstream, f.settings.Upstreams)
	for i := range list {
		list[i] = quetzalhook.Upstream{ID: quetzalhook.UpstreamID(upstreamName(i)), Zone: quetzalhook.Zone(f.zoneName(i))}
	}
	return list
}

// start starts the hosts, applies a configuration, issues a customer key and
// waits until every host has answered a chat request.
func (f *fleet) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ports, err := freePorts(f.settings.Hosts)
	if err != nil {
		return err
	}
	for i := range f.settings.Hosts {
		n, err := node.New(setting.Settings{
			Host: quetzalhook.HostID(fmt.Sprintf("host-%03d", i)), Zone: quetzalhook.Zone(f.zoneName(i)),
			Listen: "127.0.0.1:0", PeerListen: ports[i], Seeds: ports[:1], Hosts: f.settings.Hosts,
			Platform: f.platformAddress, PeerSecret: peerSecret, OperatorKey: operatorKey, Policy: setting.PolicyOwn,
			HostsLifetime: hostsLifetime, BillingWindow: time.Hour,
		}, platform.NewStore(f.platformAddress, logrus.StandardLogger()), nil)
		if err == nil {
			err = n.Start(ctx)
		}
		if err != nil {
			return errors.Wrapf(err, "host %d", i)
		}
		f.nodes = append(f.nodes, n)
	}
	if err := f.configure(ctx); err != nil {
		return errors.Wrap(err, "configuration")
	}
	for i, n := range f.nodes {
		if err := retry(ctx, func() error { return f.sendChat(ctx, n.Address()) }); err != nil {
			return errors.Wrapf(err, "host %d does not serve", i)
		}
	}
	return nil
}

// freePorts returns n loopback addresses. The port of each address and the next
// port are free for UDP. All ports are below the ephemeral range, so that
// outgoing connections do not take them.
func freePorts(n int) ([]string, error) {
	var list []string
	for port := 12000; port < 32000 && len(list) < n; port += 2 {
		if isFree(port) && isFree(port+1) {
			list = append(list, fmt.Sprintf("127.0.0.1:%d", port))
		}
	}
	if len(list) < n {
		return nil, errors.Errorf("cannot find %d pairs of adjacent free UDP ports", n)
	}
	return list, nil
}

func isFree(port int) bool {
	conn, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// close stops the hosts, then the simulated platform and engines.
func (f *fleet) close() {
	var group sync.WaitGroup
	for _, n := range f.nodes {
		group.Go(n.Kill)
	}
	group.Wait()
	f.client.CloseIdleConnections()
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, e := range f.engines {
		_ = e.Close()
	}
}

// snapshot holds the counters of all hosts, the platform and the engines at one
// time.
type snapshot struct {
	at                                      time.Time
	cpu                                     time.Duration
	datagrams, bytes, served, failed, polls int64
	calls                                   map[string]int64
	platformBytes, watches, members         int64
}

func (f *fleet) snapshot() snapshot {
	s := snapshot{
		at: time.Now(), cpu: cpuTime(), served: f.served.Load(), failed: f.failed.Load(), polls: f.polls.Load(),
		platformBytes: f.platform.bytes.Load(), watches: f.platform.watches.Load(),
	}
	f.platform.mu.Lock()
	s.calls = maps.Clone(f.platform.counts)
	f.platform.mu.Unlock()
	for _, n := range f.nodes {
		var vars struct {
			Members    int64 `json:"members"`
			Heartbeats struct {
				Datagrams int64 `json:"datagrams"`
				Bytes     int64 `json:"bytes"`
			} `json:"heartbeats-sent"`
		}
		if b, err := n.Meter().MarshalJSON(); err == nil && json.Unmarshal(b, &vars) == nil {
			s.datagrams += vars.Heartbeats.Datagrams
			s.members += vars.Members
			s.bytes += vars.Heartbeats.Bytes
		}
	}
	return s
}
