package relay

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// resumeBody holds the fields of a request body that checkResume reads.
type resumeBody struct {
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Continue bool `json:"continue_final_message"`
}

// checkResume checks the invariant that a request to resume an answer continues
// after exactly the text received so far. Otherwise tokens would be missing or
// repeated in the answer, which the token counts of the upstreams do not show.
// An answer without tokens is not checked, since it starts from the beginning.
func (r *Relay) checkResume(call Call, id quetzalhook.UpstreamID, body []byte) {
	a := call.Answer
	if a.tokens == 0 {
		return
	}
	var sent resumeBody
	var text string
	ok := json.Unmarshal(body, &sent) == nil && sent.Continue && len(sent.Messages) > 0
	if ok {
		last := sent.Messages[len(sent.Messages)-1]
		ok = json.Unmarshal(last.Content, &text) == nil && last.Role == "assistant" && xxhash.Sum64String(text) == a.textDigest.Sum64()
	}
	r.invariants.Check(invariant.WholeAnswer, ok, "request", call.Request.ID, "upstream", id, "resumed-with", len(text), "passed-on", a.text.Len())
}
