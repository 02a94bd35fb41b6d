package gateway

import (
	"strings"
	"testing"
)

// Guards against requests that are handled by an older table than that of the host which got
// them.
func TestOlderTableOfOtherHost(t *testing.T) {
	peers, list := newPeers(t, []string{"upstream a " + ok + "\noffer a", "upstream a " + ok + "\noffer a"})
	old := testTable()
	old.Version, old.Routes = 1, nil
	old.Index()
	peers[0].setTable(old)
	env := newTestEnvironment(t)
	defer env.close()
	newer := testTable()
	newer.Version = 2
	newer.Index()
	peers[1].setTable(newer)
	env.gateway.deps.Reaching, env.gateway.deps.Peers = cutOffHost, list
	env.setTable(newer)
	answer, _, _ := strings.Cut(env.runScript(t, sendOrder), "\n")
	if want := `caller: 200 whole answer-seal=s "hi"`; answer != want {
		t.Errorf("got %s, want %s", answer, want)
	}
}
