package journal

import "sync/atomic"

// Stats counts what the journal of one host has done since it started.
type Stats struct {
	Claimed  int64 `json:"claimed"`
	Replayed int64 `json:"replayed"`
	// Open counts calls whose key was already claimed by a call without an outcome.
	Open     int64 `json:"open"`
	Mismatch int64 `json:"mismatch"`
	// NotRun and Unknown count failed claims by the outcome that the caller was
	// told.
	NotRun  int64 `json:"not-run"`
	Unknown int64 `json:"unknown"`
	// Full counts claims refused because their shard was full. They are included
	// in NotRun.
	Full int64 `json:"full"`
	// Writes counts the writes of shards, and Operations the changes in them.
	Writes     int64 `json:"writes"`
	Operations int64 `json:"operations"`
	// Forwarded counts operations that were forwarded to the preferred host and
	// answered by it.
	Forwarded int64 `json:"forwarded"`
}

// counters holds the current values for Stats.
type counters struct {
	statuses   [statusUnknown + 1]atomic.Int64 // claims by the status of their answer
	writes     atomic.Int64
	operations atomic.Int64
	forwarded  atomic.Int64
}

// Stats returns the counts so far.
func (j *Journal) Stats() Stats {
	count := func(v status) int64 { return j.counters.statuses[v].Load() }
	return Stats{
		Claimed: count(statusDone), Replayed: count(statusReplay), Open: count(statusOpen),
		Mismatch: count(statusMismatch), NotRun: count(statusAbsent) + count(statusFull),
		Unknown: count(statusUnknown), Full: count(statusFull),
		Writes: j.counters.writes.Load(), Operations: j.counters.operations.Load(),
		Forwarded: j.counters.forwarded.Load(),
	}
}
