package billing

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/record/usage"
)

const (
	frozenPrefix = "usage/frozen/"
	// maxPartBytes limits a part of the frozen figures, so that it stays below the
	// store's limit of 1 MB for a value.
	maxPartBytes = 512 << 10
)

// Line is one line of a report: the usage of one customer in one class. For is set
// only for late usage; it is the earlier window to which the usage belongs.
type Line struct {
	Customer quetzalhook.CustomerID `json:"customer"`
	Class    quetzalhook.ClassName  `json:"class"`
	For      usage.Window           `json:"for,omitempty"`
	Prompt   int64                  `json:"prompt-tokens"`
	Output   int64                  `json:"output-tokens"`
	Wasted   int64                  `json:"wasted-tokens"`
	Requests int64                  `json:"requests"`
}

func newLine(l usage.Line, forWindow usage.Window) Line {
	return Line{
		Customer: l.Key.Customer, Class: l.Key.Class, For: forWindow,
		Prompt: l.Amount.Prompt, Output: l.Amount.Output, Wasted: l.Amount.Wasted, Requests: l.Amount.Requests,
	}
}

// Report is the format of the body that the platform receives.
type Report struct {
	Window usage.Window `json:"window"`
	Lines  []Line       `json:"lines"`
}

// manifest is the value of usage/frozen/WINDOW. It is created once and never
// changed. Parts lists the SHA-256 hashes of the parts of the figures. Each part
// is stored as usage/frozen/WINDOW/HASH.
type manifest struct {
	Window usage.Window `json:"window"`
	Parts  []string     `json:"parts"`
}

// freeze stores the figures of a window unless it is frozen already. The parts are
// written first. The manifest, which only one reporter can create, determines
// which figures are valid.
func (r *Reporter) freeze(ctx context.Context, w usage.Window, lines []Line) error {
	m := manifest{Window: w, Parts: []string{}}
	parts, err := encodeParts(lines)
	if err != nil {
		return err
	}
	for _, part := range parts {
		hash := sha256.Sum256(part)
		name := hex.EncodeToString(hash[:])
		m.Parts = append(m.Parts, name)
		if err := r.create(ctx, partKey(w, name), part); err != nil {
			return err
		}
	}
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	return r.create(ctx, frozenPrefix+string(w), value)
}

func partKey(w usage.Window, name string) string { return frozenPrefix + string(w) + "/" + name }

// encodeParts encodes lines as JSON objects separated by commas, and divides them
// into parts of at most maxPartBytes, unless a single line is longer.
func encodeParts(lines []Line) ([][]byte, error) {
	var parts [][]byte
	var part []byte
	for _, l := range lines {
		object, err := json.Marshal(l)
		if err != nil {
			return nil, errors.Wrap(err, "encode line")
		}
		if len(part)+len(object) >= maxPartBytes {
			parts, part = append(parts, part), nil
		}
		if len(part) > 0 {
			part = append(part, ',')
		}
		part = append(part, object...)
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts, nil
}

// create writes an object unless its key exists. It returns no error if the answer
// of the store is lost, since the caller reads the object back.
func (r *Reporter) create(ctx context.Context, key string, value []byte) error {
	_, err := r.store.Put(ctx, key, value, 0)
	switch quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) {
	case "", quetzalhook.StoreConflict, quetzalhook.StoreUnknown:
		return nil
	}
	return errors.Wrapf(err, "create %s", key)
}

// cachedReport returns the body of the frozen report of a window, or nil if the
// window is not frozen. It reads the store only if the body is not in memory.
func (r *Reporter) cachedReport(ctx context.Context, w usage.Window) ([]byte, error) {
	if body, ok := r.bodies[w]; ok {
		return body, nil
	}
	body, err := r.readReport(ctx, w)
	if body != nil {
		r.bodies[w] = body
	}
	return body, err
}

// readReport reads the body of the frozen report of a window from the store. It
// returns nil if the window is not frozen.
func (r *Reporter) readReport(ctx context.Context, w usage.Window) ([]byte, error) {
	o, err := r.store.Get(ctx, frozenPrefix+string(w))
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read frozen %s", w)
	}
	var m manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return nil, errors.Wrapf(err, "decode frozen %s", w)
	}
	parts := make([][]byte, len(m.Parts))
	for i, name := range m.Parts {
		p, err := r.store.Get(ctx, partKey(w, name))
		if err != nil {
			return nil, errors.Wrapf(err, "read part of frozen %s", w)
		}
		parts[i] = p.Value
	}
	body := append([]byte(`{"window":"`+string(w)+`","lines":[`), bytes.Join(parts, []byte(","))...)
	return append(body, "]}"...), nil
}
