package lease

import (
	"encoding/json"
	"slices"

	"quetzalhook"
)

// document is the value of the object lease/ROLE. It is never deleted, so
// that fencing numbers only grow.
type document struct {
	Role        string                  `json:"role"`
	Fencing     uint64                  `json:"fencing"`
	Holder      quetzalhook.HostID      `json:"holder"` // empty after a release
	Incarnation quetzalhook.Incarnation `json:"incarnation"`
	// Nonce names the write that produced this version.
	Nonce  string `json:"nonce"`
	TermMS int64  `json:"term-ms"`
	// Intents holds the orders whose outcome is not known, oldest first.
	Intents []Intent `json:"intents,omitempty"`
}

// Intent is an order that was written down before it was sent.
type Intent struct {
	ID          string                  `json:"id"`
	Target      string                  `json:"target"`
	Fencing     uint64                  `json:"fencing"`
	Host        quetzalhook.HostID      `json:"host"`
	Incarnation quetzalhook.Incarnation `json:"incarnation"`
	// Sends counts the sends that the intent covers. Only with a single one
	// does a visible effect prove to others that no send is still to come.
	Sends int `json:"sends"`
}

func (d document) clone() document {
	d.Intents = slices.Clone(d.Intents)
	return d
}

// remove drops the intents for which drop is true and reports whether there
// were any.
func (d *document) remove(drop func(Intent) bool) bool {
	n := len(d.Intents)
	d.Intents = slices.DeleteFunc(d.Intents, drop)
	return len(d.Intents) < n
}

func (d *document) has(id string) bool {
	return slices.ContainsFunc(d.Intents, func(i Intent) bool { return i.ID == id })
}

func decode(value []byte) (document, error) {
	var d document
	err := json.Unmarshal(value, &d)
	return d, err
}

func (d document) encode() []byte {
	value, err := json.Marshal(d)
	if err != nil {
		panic("lease: " + err.Error()) // the type has no value that fails to encode
	}
	return value
}
