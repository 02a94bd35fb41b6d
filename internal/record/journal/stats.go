package journal

import "sync/atomic"

// Stats counts what one host's journal has done since it started.
type Stats struct {
	Claimed  int64 `json:"claimed"`
	Replayed int64 `json:"replayed"`
	// Open counts calls whose key had a claim without outcome.
	Open     int64 `json:"open"`
	Mismatch int64 `json:"mismatch"`
	// NotRun and Unknown count claims that failed, by what callers were told.
	NotRun  int64 `json:"not-run"`
	Unknown int64 `json:"unknown"`
	// Full counts claims refused because their shard had no room. They are
	// part of NotRun.
	Full int64 `json:"full"`
	// Writes counts the writes of shards, Operations what they contained.
	Writes     int64 `json:"writes"`
	Operations int64 `json:"operations"`
	// Forwarded counts operations that a preferred host decided.
	Forwarded int64 `json:"forwarded"`
}

// counters are the live numbers behind Stats.
type counters struct {
	verdicts  [verdictLost + 1]atomic.Int64 // answers to claims
	writes    atomic.Int64
	operation atomic.Int64
	forwarded atomic.Int64
}

// Stats returns the counts so far.
func (j *Journal) Stats() Stats {
	of := func(v verdict) int64 { return j.counters.verdicts[v].Load() }
	return Stats{
		Claimed: of(verdictDone), Replayed: of(verdictReplay), Open: of(verdictOpen),
		Mismatch: of(verdictMismatch), NotRun: of(verdictAbsent) + of(verdictFull),
		Unknown: of(verdictLost), Full: of(verdictFull),
		Writes: j.counters.writes.Load(), Operations: j.counters.operation.Load(),
		Forwarded: j.counters.forwarded.Load(),
	}
}
