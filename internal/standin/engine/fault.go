package engine

import "time"

// Faults are the faults that the engine simulates. The zero value is a healthy
// engine. POST /faults accepts the same fields; absent ones keep their value.
type Faults struct {
	// Straggler is the factor by which prefill and decode steps take longer;
	// values below 1 have no effect.
	Straggler float64 `json:"straggler"`
	// Crash closes all connections and refuses new ones until it is reset.
	Crash bool `json:"crash"`
	// Silent makes all open connections that have sent a request stop responding
	// permanently. It applies once and is not stored.
	Silent bool `json:"silent"`
	// Leaving announces in load reports that the engine will shut down.
	Leaving bool `json:"leaving"`
	// SlowMS delays the start of every chat request, in milliseconds.
	SlowMS int64 `json:"slow-ms"`
	// ReportLagMS is the minimum age of a load report, in milliseconds.
	ReportLagMS int64 `json:"report-lag-ms"`
	// EventLagMS is the delay after which a cache event is reported, in
	// milliseconds.
	EventLagMS int64 `json:"event-lag-ms"`
	// Cut is the number of streamed answers still to be cut off: the connection
	// is closed once the answer has CutAt tokens, before the final event.
	Cut   int `json:"cut"`
	CutAt int `json:"cut-at"`
	// EventGap drops every n-th cache event; 0 drops none.
	EventGap int `json:"event-gap"`
}

// SetFaults replaces all active faults. It restarts a crashed engine unless f.Crash
// is set.
func (e *Engine) SetFaults(f Faults) error {
	silent := f.Silent
	f.Silent = false
	e.mu.Lock()
	if f.Leaving && !e.faults.Leaving {
		e.leavingSince, e.lateArrivals = time.Now(), nil
	}
	e.faults = f
	e.mu.Unlock()
	if silent {
		e.socket.Silence()
	}
	if f.Crash {
		e.socket.Crash()
		return nil
	}
	return e.socket.Restart()
}

// Faults returns the active faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeCut reports whether Faults.Cut applies to an answer that has n tokens, and
// if so decrements the number of answers still to be cut.
func (e *Engine) takeCut(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Cut <= 0 || n != e.faults.CutAt {
		return false
	}
	e.faults.Cut--
	return true
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
