package scenario

import (
	"encoding/json"
	"time"

	"quetzalhook/internal/bench/client"
	"quetzalhook/internal/record/billing"
	"quetzalhook/internal/state/invariant"
)

// leavingGrace is the time after which a leaving upstream must receive no new
// requests.
const leavingGrace = 3 * time.Second

// generatedTokens returns the number of tokens that each engine has generated.
func (s *system) generatedTokens() []int64 {
	var list []int64
	for _, e := range s.backend.engines {
		list = append(list, e.Stats().GeneratedTokens)
	}
	return list
}

// result combines the callers' measures with the records of the stand-ins and
// the invariant counters of all hosts. generatedBefore holds the number of tokens
// that each engine had generated before the load.
func (s *system) result(generatedBefore []int64) Result {
	s.checkStandins()
	s.checkStops()
	report := s.client.Report()
	s.client.Verify(s.records(), &report)
	var total, cheap int64
	for i, n := range s.generatedTokens() {
		total += n - generatedBefore[i]
		if s.backend.engines[i].upstream.Cheap {
			cheap += n - generatedBefore[i]
		}
	}
	report.WastedTokens = max(total-report.ServedTokens-s.streamTokens.Load(), 0)
	report.Spending = s.backend.spending.total()
	if total > 0 {
		report.CheapShare = float64(cheap) / float64(total)
	}
	report.AddBilled(s.billedTokens())
	report.AddCounts(s.checks.Counts())
	details := s.checks.Details()
	for _, h := range s.hosts {
		counts, found := h.counts()
		report.AddCounts(counts)
		details = append(details, found...)
	}
	return Result{Report: report, Details: details, Errors: s.client.Errors(), Failed: s.failedSteps}
}

// billedTokens returns each customer's output tokens in the usage reports that the
// platform received.
func (s *system) billedTokens() map[string]int64 {
	tokens := make(map[string]int64)
	for window, body := range s.backend.cloud.ReportBodies() {
		var report billing.Report
		if err := json.Unmarshal(body, &report); err != nil {
			s.log.WithError(err).WithField("window", window).Error("cannot decode usage report")
			continue
		}
		for _, line := range report.Lines {
			tokens[string(line.Customer)] += line.Output
		}
	}
	return tokens
}

func (s *system) records() client.Records {
	var all client.Records
	for _, e := range s.backend.engines {
		all.Merge(client.Records{Runs: e.RequestCounts()})
	}
	for _, svc := range s.backend.services {
		all.Merge(client.Records{Orders: svc.Runs(), Runs: svc.RequestCounts()})
	}
	return all
}

// checkStandins checks that the stand-ins received no caller's key, no late
// requests to leaving engines, no orders with an old fencing token, and no
// conflicting usage reports.
func (s *system) checkStandins() {
	for customer, secret := range s.keys {
		for _, e := range s.backend.engines {
			n, watched := e.SawSecret(secret)
			s.checks.Check(invariant.KeyNotForwarded, n == 0 && watched, "customer", customer, "upstream", e.upstream.Name)
		}
		for _, svc := range s.backend.services {
			n, watched := svc.SawSecret(secret)
			s.checks.Check(invariant.KeyNotForwarded, n == 0 && watched, "customer", customer, "upstream", svc.upstream.Name)
		}
	}
	for _, e := range s.backend.engines {
		if e.Faults().Leaving {
			late := e.LateArrivals(leavingGrace)
			s.checks.Check(invariant.LeavingUpstream, late == 0, "upstream", e.upstream.Name, "late", late)
		}
		s.checkOrders(e)
	}
	stale := s.backend.cloud.StaleOrders()
	s.checks.Check(invariant.SingleCommander, stale == 0, "stale-orders", stale)
	_, conflicting := s.backend.cloud.Reports()
	s.checks.Check(invariant.SingleReport, conflicting == 0, "conflicting", conflicting)
}

// checkOrders checks that the engine accepted no order with an older fencing
// token than that of an earlier order.
func (s *system) checkOrders(e engineStandin) {
	highest := uint64(0)
	for _, o := range e.Orders() {
		s.checks.Check(invariant.SingleCommander, !o.Accepted || o.Fencing >= highest, "upstream", e.upstream.Name, "fencing", o.Fencing)
		highest = max(highest, o.Fencing)
	}
}

// checkStops checks that no connection of a request broke on a host that was
// never killed.
func (s *system) checkStops() {
	broken := s.client.BrokenByHost()
	for _, h := range s.hosts {
		if h.kills == 0 {
			n := broken[h.address()]
			s.checks.Check(invariant.GracefulStop, n == 0, "host", h.name, "broken", n)
		}
	}
}
