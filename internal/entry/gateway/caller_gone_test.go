package gateway

import (
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a sound host that is avoided since a caller has left before its answer.
func TestCallerGoneIsNoFaultOfHost(t *testing.T) {
	peers, list := newPeers(t, []string{"upstream a hold\noffer a"})
	var ends, unreached atomic.Int32
	list[0].End = func(reached bool) {
		ends.Add(1)
		if !reached {
			unreached.Add(1)
		}
	}
	env := newTestEnvironment(t)
	defer env.close()
	env.gateway.deps.Reaching, env.gateway.deps.Peers = cutOffHost, list
	env.upstreams["a"] = peers[0].upstreams["a"]
	defer delete(env.upstreams, "a")
	env.record(&env.ends, "none")
	env.send(t, strings.TrimPrefix(sendOrder, "send "), "a")
	peers[0].awaitRequests()
	env.awaitRequests()
	if ends.Load() != 1 || unreached.Load() != 0 {
		t.Errorf("got %d ends, %d of them as not reached, want 1 and 0", ends.Load(), unreached.Load())
	}
}
