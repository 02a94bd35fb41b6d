package gateway

import (
	"strings"
	"testing"
)

// Guards against a stream that is complete but ends as broken, since its upstream broke after
// the last event and another host got the rest.
func TestEmptyRestAtAnotherHost(t *testing.T) {
	empty := `HTTP/1.1 200 OK\r\nAnswer-Seal: s1\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n`
	for _, own := range []bool{true, false} {
		_, list := newPeers(t, []string{"upstream a " + empty + "\noffer a"})
		env := newTestEnvironment(t)
		if !own {
			env.gateway.deps.Peers = list
		}
		script := "upstream a " + cutOff + "\nupstream b " + empty + "\noffer a b\n"
		if !own {
			script = "upstream a " + cutOff + "\noffer a x y\n"
		}
		answer, _, _ := strings.Cut(env.runScript(t, script+sendDraft), "\n")
		t.Logf("own=%v: %s", own, answer)
		if strings.Contains(answer, "cut") {
			t.Errorf("own=%v: got %s, want a whole stream", own, answer)
		}
		env.close()
	}
}
