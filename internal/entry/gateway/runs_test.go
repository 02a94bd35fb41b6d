package gateway

import (
	"strings"
	"testing"
)

// Guards against a request that runs on more upstreams than its route allows, over several
// hosts.
func TestRunsOverHosts(t *testing.T) {
	script := "upstream a reset\nupstream b " + cutOff + "\noffer a b"
	peers, list := newPeers(t, []string{script, script, script})
	env := newTestEnvironment(t)
	defer env.close()
	env.gateway.deps.Reaching, env.gateway.deps.Peers = cutOffHost, list
	answer := env.runScript(t, sendDraft)
	got, all := 0, ""
	for _, e := range peers {
		all += e.describe() + "\n"
	}
	if got = strings.Count(all, "/draft/"); got > 2 { // the route allows 2
		t.Errorf("got %d runs, want 2:\n%s%s", got, answer, all)
	}
}
