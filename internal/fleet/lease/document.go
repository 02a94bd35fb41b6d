package lease

import (
	"encoding/json"
	"slices"

	"quetzalhook"
)

// document is the value of the store object lease/ROLE. The object is never
// deleted, so that fencing tokens never decrease.
type document struct {
	Role        string                  `json:"role"`
	Fencing     uint64                  `json:"fencing"`
	Holder      quetzalhook.HostID      `json:"holder"` // empty after a release
	Incarnation quetzalhook.Incarnation `json:"incarnation"`
	// Nonce identifies the write that produced this version.
	Nonce  string `json:"nonce"`
	TermMS int64  `json:"term-ms"`
	// Era is that of the store when the token was given, or 0 if the store names none or a
	// host of an older build wrote the object.
	Era int64 `json:"era,omitempty"`
	// Intents lists the orders whose outcome is unknown, oldest first.
	Intents []Intent `json:"intents,omitempty"`
}

// Intent is the record of an order, written to the lease object before the
// order is sent.
type Intent struct {
	ID          string                  `json:"id"`
	Target      string                  `json:"target"`
	Fencing     uint64                  `json:"fencing"`
	Host        quetzalhook.HostID      `json:"host"`
	Incarnation quetzalhook.Incarnation `json:"incarnation"`
	// Sends is the number of times that the order has been sent, including the
	// send that follows this write. Only if it is 1 does a visible effect prove
	// to other processes that no further send is pending.
	Sends int `json:"sends"`
}

func (d document) clone() document {
	d.Intents = slices.Clone(d.Intents)
	return d
}

// remove deletes the intents for which drop returns true and reports whether
// there were any.
func (d *document) remove(drop func(Intent) bool) bool {
	n := len(d.Intents)
	d.Intents = slices.DeleteFunc(d.Intents, drop)
	return len(d.Intents) < n
}

func (d *document) hasIntent(id string) bool {
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
		panic("lease: " + err.Error()) // every value of the type can be encoded
	}
	return value
}
