package journal

import (
	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
)

// digest is a truncated SHA-256 hash or a random nonce.
type digest [16]byte

// entry is one claim in a shard, with its response once the call has finished.
// Entries are encoded as CBOR arrays without field names, because their size
// limits how many claims fit into a shard.
type entry struct {
	_           struct{} `cbor:",toarray"`
	Key         digest
	Fingerprint digest
	Nonce       digest
	Epoch       uint32
	Done        bool   // the call has finished
	Stored      bool   // the response is in an object of its own
	Response    []byte // empty if Stored
	// Host and Incarnation identify the claimant until the outcome is known.
	Host        quetzalhook.HostID
	Incarnation quetzalhook.Incarnation
}

// entryOverhead is an upper bound of the encoded size of an entry without
// its response and host name, in bytes.
const entryOverhead = 76

func (e *entry) size() int { return entryOverhead + len(e.Response) + len(e.Host) }

// document is the format of a shard object.
type document struct {
	// Epoch is the number of the current epoch, a fraction of the retention period;
	// see committer.advanceEpoch.
	Epoch   uint32  `cbor:"epoch"`
	Entries []entry `cbor:"entries"`
}

// shard is a decoded document with an index of its entries.
type shard struct {
	document
	index map[digest]int // position in Entries, by key
	size  int            // upper bound of the encoded size in bytes
}

// documentOverhead is an upper bound of the encoded size of a document without
// entries, in bytes.
const documentOverhead = 64

func newShard() *shard {
	return &shard{index: make(map[digest]int), size: documentOverhead}
}

func decodeShard(value []byte) (*shard, error) {
	s := newShard()
	if err := cbor.Unmarshal(value, &s.document); err != nil {
		return nil, err
	}
	for i := range s.Entries {
		s.index[s.Entries[i].Key] = i
		s.size += s.Entries[i].size()
	}
	return s, nil
}

func (s *shard) encode() ([]byte, error) { return cbor.Marshal(s.document) }

func (s *shard) find(key digest) *entry {
	i, ok := s.index[key]
	if !ok {
		return nil
	}
	return &s.Entries[i]
}

func (s *shard) add(e entry) {
	s.index[e.Key] = len(s.Entries)
	s.Entries = append(s.Entries, e)
	s.size += e.size()
}

func (s *shard) remove(key digest) {
	i := s.index[key]
	last := len(s.Entries) - 1
	s.size -= s.Entries[i].size()
	s.Entries[i] = s.Entries[last]
	s.index[s.Entries[i].Key] = i
	s.Entries[last] = entry{}
	s.Entries = s.Entries[:last]
	delete(s.index, key)
}

// action is what an operation does.
type action uint8

const (
	actionClaim   action = iota + 1
	actionFinish         // store the response of a claimed call
	actionRelease        // remove a claim whose call was provably not sent
	actionDrop           // remove an expired claim
)

// operation is a change of one claim in a shard. Its nonce identifies the claim.
type operation struct {
	Action      action                  `cbor:"action"`
	Key         digest                  `cbor:"key"`
	Nonce       digest                  `cbor:"nonce"`
	Fingerprint digest                  `cbor:"fingerprint"`
	Host        quetzalhook.HostID      `cbor:"host"`
	Incarnation quetzalhook.Incarnation `cbor:"incarnation"`
	Response    []byte                  `cbor:"response,omitempty"`
	Stored      bool                    `cbor:"stored,omitempty"`
}

// status states whether an operation took effect and, if not, why.
type status uint8

const (
	statusDone       status = iota + 1 // claimed, finished, released or dropped
	statusReplay                       // claimed before, with the response
	statusOpen                         // claimed before, without an outcome
	statusMismatch                     // claimed before with another request
	statusNotClaimed                   // finish: the claim is not in the shard
	statusFull                         // the shard is full; the operation is provably absent
	statusAbsent                       // not in the shard, and never will be
	statusUnknown                      // may or may not be in the shard
)

// answer is the result of an operation. With statusReplay it holds the response
// or, if Stored is set, the nonce of the claim, which is part of the key under
// which the response is stored.
type answer struct {
	Status   status `cbor:"verdict"`
	Response []byte `cbor:"response,omitempty"`
	Stored   bool   `cbor:"stored,omitempty"`
	Nonce    digest `cbor:"nonce"` // of the claim that owns the response
}

// maxShardSize is the size in bytes above which no claims are added to a shard.
// It leaves room below the limit of the store for the responses of open claims.
const maxShardSize = quetzalhook.MaxValueSize * 3 / 4

// maxFinishSize limits the size of a shard in bytes when responses are added.
const maxFinishSize = quetzalhook.MaxValueSize - 4096

// apply applies an operation to the shard and reports whether it changed the
// shard. Applying it again gives the same answer without a change.
func (s *shard) apply(op *operation) (answer, bool) {
	e := s.find(op.Key)
	sameNonce := e != nil && e.Nonce == op.Nonce
	switch {
	case op.Action == actionClaim:
		return s.claim(op, e, sameNonce)
	case op.Action == actionFinish && sameNonce:
		return s.finish(op, e)
	case op.Action == actionFinish:
		return answer{Status: statusNotClaimed}, false
	case op.Action == actionRelease && sameNonce && !e.Done, op.Action == actionDrop && sameNonce:
		s.remove(op.Key)
		return answer{Status: statusDone}, true
	}
	return answer{Status: statusDone}, false
}

func (s *shard) claim(op *operation, e *entry, sameNonce bool) (answer, bool) {
	switch {
	case sameNonce:
		return answer{Status: statusDone}, false
	case e != nil && e.Fingerprint != op.Fingerprint:
		return answer{Status: statusMismatch}, false
	case e != nil && e.Done:
		return answer{Status: statusReplay, Response: e.Response, Stored: e.Stored, Nonce: e.Nonce}, false
	case e != nil:
		return answer{Status: statusOpen}, false
	}
	added := entry{
		Key: op.Key, Fingerprint: op.Fingerprint, Nonce: op.Nonce, Epoch: s.Epoch,
		Host: op.Host, Incarnation: op.Incarnation,
	}
	if s.size+added.size() > maxShardSize {
		return answer{Status: statusFull}, false
	}
	s.add(added)
	return answer{Status: statusDone}, true
}

func (s *shard) finish(op *operation, e *entry) (answer, bool) {
	if e.Done {
		return answer{Status: statusDone}, false
	}
	if s.size+len(op.Response) > maxFinishSize {
		return answer{Status: statusFull}, false
	}
	s.size -= e.size()
	e.Done, e.Stored, e.Response = true, op.Stored, op.Response
	e.Host, e.Incarnation = "", 0
	e.Epoch = s.Epoch // the retention period starts with the outcome
	s.size += e.size()
	return answer{Status: statusDone}, true
}

// expired reports whether an entry may be removed: its retention period has
// passed, and its outcome is known or its claimant is known to be dead. A
// claimant that is only paused may still send the call.
func (s *shard) expired(e *entry, isDead func(quetzalhook.HostID, quetzalhook.Incarnation) bool) bool {
	if s.Epoch-e.Epoch <= epochsPerRetention {
		return false
	}
	return e.Done || isDead(e.Host, e.Incarnation)
}
