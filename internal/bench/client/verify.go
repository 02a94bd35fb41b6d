package client

import (
	"quetzalhook/internal/bench/measure"
	"quetzalhook/internal/state/invariant"
)

// Records are the counts of requests that the stand-ins recorded in a run.
type Records struct {
	// Orders counts how often each order ran.
	Orders map[string]int `json:"orders"`
	// Runs counts the requests that reached a stand-in by X-Request-Id.
	Runs map[string]int `json:"runs"`
}

// Merge adds the counts of other.
func (r *Records) Merge(other Records) {
	if r.Orders == nil {
		r.Orders, r.Runs = make(map[string]int), make(map[string]int)
	}
	for id, n := range other.Orders {
		r.Orders[id] += n
	}
	for id, n := range other.Runs {
		r.Runs[id] += n
	}
}

// Verify checks the responses that the callers received against the records of
// the stand-ins, and completes the order counts of the report.
func (c *Client) Verify(r Records, report *measure.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.settings.Invariants.Check
	for _, id := range c.refusals {
		check(invariant.TrueRefusal, r.Runs[id] == 0, "request", id, "runs", r.Runs[id])
	}
	for _, o := range c.orders {
		runs := r.Orders[o.id]
		check(invariant.AtMostOnce, runs <= 1, "order", o.id, "runs", runs)
		if runs > 0 {
			report.Orders.Run++
		}
		if runs > 1 {
			report.Orders.RunTwice++
		}
		switch {
		case o.status == measure.Served:
			check(invariant.WholeAnswer, runs > 0, "order", o.id, "runs", runs)
		case o.status == measure.Refused && !o.broken:
			check(invariant.TrueRefusal, runs == 0, "order", o.id, "runs", runs)
		}
	}
}
