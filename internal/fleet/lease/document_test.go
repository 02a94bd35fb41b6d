package lease

import (
	"encoding/json"
	"testing"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

// Guards against an object that hosts of an older build reject although the store never came
// back from a copy, and against the loss of a field that they write.
func TestOlderBuild(t *testing.T) {
	type olderDocument struct {
		Role        string                  `json:"role"`
		Fencing     uint64                  `json:"fencing"`
		Holder      quetzalhook.HostID      `json:"holder"`
		Incarnation quetzalhook.Incarnation `json:"incarnation"`
		Nonce       string                  `json:"nonce"`
		TermMS      int64                   `json:"term-ms"`
		Intents     []Intent                `json:"intents,omitempty"`
	}
	f := newFleet(t, memory.WithEras())
	for _, line := range [][]string{
		{"a", "step"},
		{"b", "step"},
		{"a", "sleep", "12s"},
		{"a", "step"},
		{"a", "order-lost", "o"},
		{"a", "step"},
		{"a", "close"},
		{"a", "overwrite", "rubbish"},
		{"b", "step"},
		{"b", "sleep", "12s"},
		{"b", "step"},
		{"b", "order-lost", "o"},
		{"b", "step"},
	} {
		f.run(line)
		o, err := f.store.Get(t.Context(), "lease/"+RoleController)
		if err != nil || string(o.Value) == "rubbish" {
			continue
		}
		var older olderDocument
		if err := json.Unmarshal(o.Value, &older); err != nil || older.Fencing == 0 || older.Fencing > uint64(o.Version.Revision()) {
			t.Fatalf("after %v: got token %d at revision %v, %v", line, older.Fencing, o.Version, err)
		}
		value, err := json.Marshal(older)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(value)
		got.Era = o.Version.Era()
		if want := string(o.Value); err != nil || string(got.encode()) != want {
			t.Fatalf("after %v: got %s, %v, want %s", line, got.encode(), err, want)
		}
	}
}
