package engine

import "time"

// Faults selects how the engine misbehaves. The zero value is a healthy
// engine. POST /faults takes the same fields; absent ones stay as they are.
type Faults struct {
	// Straggler is the factor by which prefill and decoding are slower.
	Straggler float64 `json:"straggler"`
	// Crash closes all connections and refuses new ones until it is unset.
	Crash bool `json:"crash"`
	// Silent makes the connections open now stop answering for good. It acts
	// once and does not stay set.
	Silent bool `json:"silent"`
	// Leaving announces in load reports that the engine goes away.
	Leaving bool `json:"leaving"`
	// SlowMS delays the start of every chat request, in milliseconds.
	SlowMS int64 `json:"slow-ms"`
	// ReportLagMS is the least age of a load report, in milliseconds.
	ReportLagMS int64 `json:"report-lag-ms"`
	// EventLagMS is the delay of cache events, in milliseconds.
	EventLagMS int64 `json:"event-lag-ms"`
	// Cut is the number of further streams whose connection is closed once the
	// answer has CutAt tokens, before its end is announced.
	Cut   int `json:"cut"`
	CutAt int `json:"cut-at"`
	// EventGap loses every n-th cache event; 0 loses none.
	EventGap int `json:"event-gap"`
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) error {
	silent := f.Silent
	f.Silent = false
	e.mu.Lock()
	if f.Leaving && !e.faults.Leaving {
		e.left, e.late = time.Now(), nil
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

// cuts reports whether a stream that has n tokens is to be cut, and counts it.
func (e *Engine) cuts(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Cut <= 0 || n != e.faults.CutAt {
		return false
	}
	e.faults.Cut--
	return true
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
