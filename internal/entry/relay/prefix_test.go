package relay_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/standin/engine"
)

// Guards against prefix hashes that differ from those in an engine's cache
// events, in which case no cached prefix would ever be found.
func TestPrefixesMatchCacheEvents(t *testing.T) {
	e := engine.New(engine.WithTokenRate(2000), engine.WithPrefillRate(1e6))
	upstream := engineUpstream(t, e, "a")
	h := newHarness(t, []quetzalhook.Upstream{upstream})
	body := fmt.Sprintf(`{"model":%q,"messages":[{"content":%q,"role":"system"},{"role":"user","content":"x"}],"max_tokens":1}`,
		testModel, strings.Repeat("rules of the market ", 200))
	if err := h.chat(body, httptest.NewRecorder()); err != nil {
		t.Fatal(err)
	}
	chat, err := relay.ParseChat([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Get("http://" + upstream.Address + "/cache-events?after=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var events struct {
		Events []struct {
			Stored []string `json:"stored"`
		} `json:"events"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&events); err != nil || len(events.Events) == 0 {
		t.Fatalf("cache events: got %v, %v", events, err)
	}
	var want []string
	for _, p := range chat.Prefixes() {
		want = append(want, strconv.FormatUint(p, 16))
	}
	if got := events.Events[0].Stored; !slices.Equal(got, want) || len(want) == 0 {
		t.Errorf("prefixes: got %d %v, want %d %v", len(got), got, len(want), want)
	}
}
