package journal

import "sync/atomic"

// Stats counts what the journal of one host has done since it started.
type Stats struct {
	Claimed  int64 `json:"claimed"`
	Replayed int64 `json:"replayed"`
	// Open counts calls whose key was already claimed, without an outcome.
	Open     int64 `json:"open"`
	Mismatch int64 `json:"mismatch"`
	// NotRun and Unknown count failed claims by the outcome that the caller was
	// told.
	NotRun  int64 `json:"not-run"`
	Unknown int64 `json:"unknown"`
	// Full counts claims refused because their shard was full. They are included
	// in NotRun.
	Full int64 `json:"full"`
	// Writes counts the writes of shards, Operations the operations in them.
	Writes     int64 `json:"writes"`
	Operations int64 `json:"operations"`
	// Forwarded counts operations that were decided by a preferred host.
	Forwarded int64 `json:"forwarded"`
}

// counters holds the current values for Stats.
type counters struct {
	verdicts   [verdictUnknown + 1]atomic.Int64 // results of claims
	writes     atomic.Int64
	operations atomic.Int64
	forwarded  atomic.Int64
}

// Stats returns the counts so far.
func (j *Journal) Stats() Stats {
	count := func(v verdict) int64 { return j.counters.verdicts[v].Load() }
	return Stats{
		Claimed: count(verdictDone), Replayed: count(verdictReplay), Open: count(verdictOpen),
		Mismatch: count(verdictMismatch), NotRun: count(verdictAbsent) + count(verdictFull),
		Unknown: count(verdictUnknown), Full: count(verdictFull),
		Writes: j.counters.writes.Load(), Operations: j.counters.operations.Load(),
		Forwarded: j.counters.forwarded.Load(),
	}
}
