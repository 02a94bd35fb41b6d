package scenario

import (
	"fmt"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/standin/cloud"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/standin/service"
	"quetzalhook/internal/standin/socket"
)

// engineStandin is an engine stand-in with its entry in the configuration.
type engineStandin struct {
	*engine.Engine
	upstream configuration.Upstream
}

// serviceStandin is a service stand-in with its entry in the configuration.
type serviceStandin struct {
	*service.Service
	upstream configuration.Upstream
}

// backend holds the stand-ins of the platform, the engines and the services.
type backend struct {
	cloud    *cloud.Cloud
	platform *socket.Server
	address  string // of the platform
	engines  []engineStandin
	services []serviceStandin
	spending spendingMeter

	tokenRate float64
}

// startBackend starts engines and a service in each region, and a platform that
// lists them.
func startBackend(workloads []workload.Workload, rate float64) (*backend, error) {
	b := &backend{tokenRate: rate}
	var models []string
	for _, w := range workloads {
		models = append(models, string(w.Model))
	}
	for _, r := range workloads[0].Regions {
		if err := b.startZone(r, models); err != nil {
			_ = b.Close()
			return nil, err
		}
	}
	d := document(workloads, b.upstreams())
	encoded, err := encode(d)
	if err != nil {
		return nil, err
	}
	parsed, err := configuration.Parse(encoded)
	if err != nil {
		return nil, err
	}
	b.cloud = cloud.New(cloud.WithUpstreams(parsed.UpstreamsFrom("")))
	b.platform = socket.New(b.cloud.Handler())
	b.address, err = b.platform.Listen("127.0.0.1:0")
	return b, err
}

func (b *backend) startZone(r quetzalhook.Region, models []string) error {
	for i := range enginesPerZone {
		u := configuration.Upstream{
			Name: fmt.Sprintf("engine-%s-%d", r, i+1), Kind: configuration.KindEngine, Zone: string(zoneName(r)), Models: models,
			Slots: slots, TokenRate: b.tokenRate / (1 + batchSlope), PrefillRate: prefillRate, Price: enginePrice, ChecksFencing: i%2 == 0,
		}
		if i >= enginesPerZone-cheapPerZone {
			u.Cheap, u.Price = true, cheapPrice
		}
		opts := []engine.Option{
			engine.WithSlots(slots), engine.WithTokenRate(b.tokenRate), engine.WithBatchSlope(batchSlope),
			engine.WithPrefillRate(prefillRate), engine.WithModels(models...),
		}
		if u.ChecksFencing {
			opts = append(opts, engine.WithFencing())
		}
		e := engine.New(opts...)
		address, err := e.Listen("127.0.0.1:0")
		u.Address = address
		b.engines = append(b.engines, engineStandin{Engine: e, upstream: u})
		if err != nil {
			return err
		}
	}
	s := service.New()
	address, err := s.Listen("127.0.0.1:0")
	b.services = append(b.services, serviceStandin{Service: s, upstream: configuration.Upstream{
		Name: fmt.Sprintf("desk-%s", r), Kind: configuration.KindService, Service: serviceName, Zone: string(zoneName(r)),
		Address: address, Slots: serviceSlots, Price: servicePrice,
	}})
	return err
}

func (b *backend) upstreams() []configuration.Upstream {
	var list []configuration.Upstream
	for _, e := range b.engines {
		list = append(list, e.upstream)
	}
	for _, s := range b.services {
		list = append(list, s.upstream)
	}
	return list
}

// cheapEngines returns the cheap engines of zone number i.
func (b *backend) cheapEngines(i int) []engineStandin {
	var list []engineStandin
	for _, e := range b.engines[i*enginesPerZone : (i+1)*enginesPerZone] {
		if e.upstream.Cheap {
			list = append(list, e)
		}
	}
	return list
}

// Close stops all stand-ins.
func (b *backend) Close() error {
	if b.platform != nil {
		_ = b.platform.Close()
	}
	for _, e := range b.engines {
		_ = e.Close()
	}
	for _, s := range b.services {
		_ = s.Close()
	}
	return nil
}

// spendingMeter adds up the price of the upstreams that the platform lists and
// that are not gone.
type spendingMeter struct {
	mu    sync.Mutex
	last  time.Time
	spent float64
}

// sample adds the price of the upstreams for the time since the last sample.
func (m *spendingMeter) sample(now time.Time, upstreams []quetzalhook.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.last.IsZero() {
		for _, u := range upstreams {
			if u.State != quetzalhook.UpstreamGone {
				m.spent += u.Price * now.Sub(m.last).Hours()
			}
		}
	}
	m.last = now
}

func (m *spendingMeter) total() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spent
}
