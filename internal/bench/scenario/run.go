package scenario

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/bench/client"
	"quetzalhook/internal/bench/measure"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

const (
	startTimeout           = 15 * time.Second
	sampleInterval         = 100 * time.Millisecond
	samplesPerUpstreamList = 5 // samples for each read of the list of upstreams
)

// system is the deployment under test: hosts and stand-ins in one process.
type system struct {
	settings     Settings
	log          logrus.FieldLogger
	hostLog      logrus.FieldLogger
	workloads    []workload.Workload
	backend      *backend
	hosts        []*host
	stopping     []atomic.Bool // by index of hosts: a planned stop is in progress
	operator     *operator
	document     configuration.Document
	keys         map[quetzalhook.CustomerID]string
	probeKey     issuedKey
	checks       *invariant.Registry // checks made outside the hosts
	client       *client.Client
	streamTokens atomic.Int64 // tokens received by the streams of withdrawKey, which do not count as wasted

	mu          sync.Mutex // guards variants, failedSteps and changes of stand-ins' faults
	variants    int
	failedSteps []string // errors of fault steps
}

// Result holds the measures and errors of a run.
type Result struct {
	Report measure.Report
	// Details describe the first violations.
	Details []string
	// Errors counts the error responses that callers received, by kind and outcome.
	Errors map[string]int
	// Failed describes the fault steps that returned an error. The cause may be
	// another fault or a defect of the system under test.
	Failed []string
}

// Run starts the system, sends both workloads while it injects the faults, stops
// the hosts and returns the measures.
func Run(ctx context.Context, settings Settings) (Result, error) {
	if err := settings.Validate(); err != nil {
		return Result{}, err
	}
	s, err := newSystem(settings)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Result{}, err
	}
	generatedBefore := s.generatedTokens()
	s.runLoad(ctx)
	s.stopAll(ctx)
	return s.result(generatedBefore), nil
}

func newSystem(settings Settings) (*system, error) {
	s := &system{
		settings: settings, log: settings.Log, hostLog: settings.HostLog, workloads: workload.All(),
		keys: make(map[quetzalhook.CustomerID]string), stopping: make([]atomic.Bool, zones*hostsPerZone),
		operator: &operator{client: &http.Client{Transport: &http.Transport{}}, key: operatorKey},
	}
	if s.log == nil {
		s.log = discardLogger()
	}
	if s.hostLog == nil {
		s.hostLog = discardLogger()
	}
	if settings.hasFault(FaultBurst) {
		for i := range s.workloads {
			s.workloads[i] = addBursts(s.workloads[i])
		}
	}
	s.checks = invariant.New(s.log)
	rate := settings.TokenRate
	if rate == 0 {
		rate = tokenRate
	}
	var err error
	if s.backend, err = startBackend(s.workloads, rate); err != nil {
		return nil, err
	}
	s.document = document(s.workloads, s.backend.upstreams())
	if s.hosts, err = newHosts(s, s.workloads); err != nil {
		_ = s.backend.Close()
		return nil, err
	}
	return s, nil
}

// start starts the hosts, applies the configuration, issues the keys, and waits
// until each host serves requests.
func (s *system) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range s.hosts {
		if err := h.start(ctx); err != nil {
			return err
		}
	}
	encoded, err := encode(s.document)
	if err != nil {
		return err
	}
	first := s.hosts[0].address()
	if err := retry(ctx, func() error { return s.configure(ctx, first, encoded) }); err != nil {
		return errors.Wrap(err, "apply first configuration")
	}
	if err := s.issueKeys(ctx); err != nil {
		return err
	}
	for _, h := range s.hosts {
		if err := retry(ctx, func() error { return s.checkReady(ctx, h) }); err != nil {
			return errors.Wrapf(err, "host %s does not serve", h.name)
		}
	}
	s.client = client.New(client.Settings{
		Hosts: s.addresses(), Keys: func(c quetzalhook.CustomerID) string { return s.keys[c] },
		Region:     func(a workload.Arrival) string { return string(s.workloads[0].Regions[a.RegionIndex]) },
		Invariants: s.checks, Collector: measure.New(),
	})
	return nil
}

func (s *system) configure(ctx context.Context, host string, document []byte) error {
	plan, err := s.operator.plan(ctx, host, document)
	if err != nil {
		return err
	}
	_, err = s.operator.confirm(ctx, host, plan)
	return err
}

func (s *system) issueKeys(ctx context.Context) error {
	var secrets []string
	for i, c := range s.document.Customers {
		var key issuedKey
		host := s.hosts[i%len(s.hosts)].address()
		err := retry(ctx, func() (err error) {
			key, err = s.operator.issue(ctx, host, quetzalhook.CustomerID(c.Name))
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "issue key of %s", c.Name)
		}
		s.keys[quetzalhook.CustomerID(c.Name)] = key.Secret
		if quetzalhook.CustomerID(c.Name) == probeCustomer {
			s.probeKey = key
		}
		secrets = append(secrets, key.Secret)
	}
	for _, e := range s.backend.engines {
		e.WatchSecrets(secrets...)
	}
	for _, svc := range s.backend.services {
		svc.WatchSecrets(secrets...)
	}
	return nil
}

// checkReady returns an error unless the host serves a request.
func (s *system) checkReady(ctx context.Context, h *host) error {
	status, err := s.probe(ctx, h.address(), s.probeKey.Secret)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("status %d", status)
	}
	return nil
}

func (s *system) addresses() []string {
	var list []string
	for _, h := range s.hosts {
		list = append(list, h.address())
	}
	return list
}

// runLoad sends all requests while it injects the faults, and returns when both
// are done.
func (s *system) runLoad(ctx context.Context) {
	arrivals := workload.Generate(s.settings.Seed, s.settings.Duration, s.settings.Scale, s.workloads...)
	loadCtx, cancel := context.WithTimeout(ctx, s.settings.Duration+drainTimeout)
	defer cancel()
	sampleCtx, stop := context.WithCancel(ctx)
	var group, sampler sync.WaitGroup
	begin := time.Now()
	sampler.Go(func() { s.sampleUntilDone(sampleCtx) })
	group.Go(func() { s.injectFaults(loadCtx, begin) })
	s.client.Run(loadCtx, arrivals)
	s.log.WithField("took", time.Since(begin).Round(time.Millisecond)).Info("all requests ended")
	group.Wait()
	stop()
	sampler.Wait()
}

// sampleUntilDone samples configuration versions and spending until ctx ends.
func (s *system) sampleUntilDone(ctx context.Context) {
	var upstreams []quetzalhook.Upstream
	for i := 0; timing.Sleep(ctx, sampleInterval); i++ {
		for _, h := range s.hosts {
			h.version()
		}
		if i%samplesPerUpstreamList == 0 {
			upstreams = s.backend.cloud.Upstreams()
		}
		s.backend.spending.sample(time.Now(), upstreams)
	}
}

func (s *system) stopAll(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range s.hosts {
		group.Go(func() {
			if err := h.stop(ctx); err != nil {
				s.log.WithError(err).WithField("host", h.name).Error("stop failed")
			}
		})
	}
	group.Wait()
}

// close kills the hosts that still run, and closes the clients and stand-ins.
func (s *system) close() {
	for _, h := range s.hosts {
		_ = h.kill()
	}
	if s.client != nil {
		_ = s.client.Close()
	}
	s.operator.client.CloseIdleConnections()
	_ = s.backend.Close()
}
