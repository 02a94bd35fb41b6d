package gateway

import (
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against a log in which attempts that reached no upstream look like those that did.
func TestLogCountsAttemptsNotSent(t *testing.T) {
	env := newTestEnvironment(t)
	defer env.close()
	logged := logtest.NewLocal(env.gateway.deps.Log.(*logrus.Logger))
	env.upstreams["gone"], env.upstreams["refuses"] = newScriptedUpstream(t), newScriptedUpstream(t)
	env.upstreams["gone"].close()
	env.upstreams["refuses"].steps = []string{`HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`}
	env.offers = []string{"gone", "gone", "refuses", "refuse"}
	if resp, _, err := env.ask(t, "/lookup/1", ""); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v, %v, want status 503", resp, err)
	}
	last := logged.LastEntry()
	if got, want := last.Data["attempts-not-sent"], 2; got != want {
		t.Errorf("attempts-not-sent: got %v, want %v", got, want)
	}
	if got, want := last.Data["attempts"], 3; got != want {
		t.Errorf("attempts: got %v, want %v", got, want)
	}
}
