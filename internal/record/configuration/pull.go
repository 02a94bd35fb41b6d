package configuration

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
)

// pullKind is the kind of the peer call that reads versions and shards.
const pullKind = "configuration-pull"

// maxPullBytes limits the total size of the shards in one answer. The calling host
// requests the shards that were left out with another call.
const maxPullBytes = 512 << 10

// pullRequest asks for shards or, if it lists none, for the head if its number is
// higher than Have.
type pullRequest struct {
	Have   int64  `cbor:"1,keyasint,omitempty"`
	Shards []Hash `cbor:"2,keyasint,omitempty"`
}

// pullAnswer holds a newer head, or those of the requested shards that the host
// has, up to maxPullBytes.
type pullAnswer struct {
	Head   *Head    `cbor:"1,keyasint,omitempty"`
	Shards [][]byte `cbor:"2,keyasint,omitempty"`
	Hashes []Hash   `cbor:"3,keyasint,omitempty"` // of the elements of Shards
}

// handlePull answers a pullRequest of another host.
func (r *Rollout) handlePull(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var req pullRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var answer pullAnswer
	if len(req.Shards) == 0 && r.head.Number > req.Have {
		head := r.head
		answer.Head = &head
	}
	size := 0
	for _, h := range req.Shards {
		value, ok := r.cache.encoded[h]
		if !ok {
			continue
		}
		if size += len(value); size > maxPullBytes && len(answer.Shards) > 0 {
			break
		}
		answer.Hashes, answer.Shards = append(answer.Hashes, h), append(answer.Shards, value)
	}
	return cbor.Marshal(answer)
}

// pull reads a newer version from another host and applies it. It reports whether
// that host had a newer version and applying it succeeded.
func (r *Rollout) pull(ctx context.Context, host quetzalhook.HostID) bool {
	answer, err := r.call(ctx, host, pullRequest{Have: r.Version()})
	if err == nil && answer.Head != nil {
		err = r.applyIfNewer(ctx, *answer.Head, func(ctx context.Context, wanted []Hash) (map[Hash][]byte, error) {
			return r.fetchFromPeer(ctx, host, wanted)
		})
	}
	if err != nil {
		r.log.WithError(err).WithField("peer", host).Debug("configuration not pulled")
	}
	return err == nil && answer.Head != nil
}

// fetchFromPeer reads shards from another host, with as many calls as maxPullBytes
// requires.
func (r *Rollout) fetchFromPeer(ctx context.Context, host quetzalhook.HostID, wanted []Hash) (map[Hash][]byte, error) {
	shards := make(map[Hash][]byte, len(wanted))
	for len(wanted) > 0 {
		answer, err := r.call(ctx, host, pullRequest{Shards: wanted})
		if err != nil {
			return shards, err
		}
		if len(answer.Shards) == 0 || len(answer.Shards) != len(answer.Hashes) {
			return shards, &Error{Op: "pull", Kind: ErrorNotFound, Err: fmt.Errorf("%s has none of %d shards", host, len(wanted))}
		}
		for i, h := range answer.Hashes {
			shards[h] = answer.Shards[i]
		}
		var rest []Hash
		for _, h := range wanted {
			if _, ok := shards[h]; !ok {
				rest = append(rest, h)
			}
		}
		if len(rest) == len(wanted) {
			return shards, &Error{Op: "pull", Kind: ErrorCorrupt, Err: fmt.Errorf("%s sent other shards than requested", host)}
		}
		wanted = rest
	}
	return shards, nil
}

func (r *Rollout) call(ctx context.Context, host quetzalhook.HostID, req pullRequest) (pullAnswer, error) {
	var answer pullAnswer
	body, err := cbor.Marshal(req)
	if err != nil {
		return answer, &Error{Op: "pull", Kind: ErrorInvalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.peers.Call(ctx, host, pullKind, body)
	if err != nil {
		return answer, &Error{Op: "pull", Kind: ErrorUnavailable, Err: err}
	}
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		return answer, &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	return answer, nil
}
