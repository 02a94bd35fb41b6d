package gateway

import (
	"context"
	"strings"
	"testing"
	"time"
)

// Guards against a request that fails at a host which loses its paths while the request waits
// there, although another host can serve it.
func TestOtherHostIsCutOffMeanwhile(t *testing.T) {
	peers, list := newPeers(t, []string{"offer wait", "upstream a " + ok + "\noffer a"})
	ctx, cancel := context.WithCancel(context.Background())
	peers[0].gateway.deps.Reaching = func() context.Context { return ctx }
	time.AfterFunc(100*time.Millisecond, cancel)
	env := newTestEnvironment(t)
	defer env.close()
	env.gateway.deps.Reaching, env.gateway.deps.Peers = cutOffHost, list
	answer, _, _ := strings.Cut(env.runScript(t, sendOrder), "\n")
	if want := `caller: 200 whole answer-seal=s "hi"`; answer != want {
		t.Errorf("got %s, want %s", answer, want)
	}
}
