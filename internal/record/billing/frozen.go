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
	// maxPart bounds a part of the frozen figures in bytes, below the store's
	// limit of 1 MB.
	maxPart = 512 << 10
)

// Line is one figure of a report: what a customer used of a class. For names
// an earlier window if the usage became known after that window was frozen.
type Line struct {
	Customer quetzalhook.CustomerID `json:"customer"`
	Class    quetzalhook.ClassName  `json:"class"`
	For      usage.Window           `json:"for,omitempty"`
	Prompt   int64                  `json:"prompt-tokens"`
	Output   int64                  `json:"output-tokens"`
	Wasted   int64                  `json:"wasted-tokens"`
	Requests int64                  `json:"requests"`
}

func newLine(l usage.Line, late usage.Window) Line {
	return Line{
		Customer: l.Key.Customer, Class: l.Key.Class, For: late,
		Prompt: l.Amount.Prompt, Output: l.Amount.Output, Wasted: l.Amount.Wasted, Requests: l.Amount.Requests,
	}
}

// Report is the format of the body that the platform receives.
type Report struct {
	Window usage.Window `json:"window"`
	Lines  []Line       `json:"lines"`
}

// manifest is the value of usage/frozen/WINDOW. It is created once and never
// changed, and names its parts by their content.
type manifest struct {
	Window usage.Window `json:"window"`
	Parts  []string     `json:"parts"`
}

// freeze stores figures for a window unless it is frozen already. The parts
// are written first; the manifest decides which figures count.
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

// encodeParts returns the lines as JSON objects with commas between them, cut
// into parts of bounded size.
func encodeParts(lines []Line) ([][]byte, error) {
	var parts [][]byte
	var part []byte
	for _, l := range lines {
		object, err := json.Marshal(l)
		if err != nil {
			return nil, errors.Wrap(err, "encode line")
		}
		if len(part)+len(object) >= maxPart {
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

// create makes an object if it does not exist. A lost answer is not an error:
// the caller reads what there is.
func (r *Reporter) create(ctx context.Context, key string, value []byte) error {
	_, err := r.store.Put(ctx, key, value, 0)
	switch quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) {
	case "", quetzalhook.StoreConflict, quetzalhook.StoreUnknown:
		return nil
	}
	return errors.Wrapf(err, "create %s", key)
}

// frozen returns the report body of a window, or nil if it is not frozen.
func (r *Reporter) frozen(ctx context.Context, w usage.Window) ([]byte, error) {
	if body, ok := r.bodies[w]; ok {
		return body, nil
	}
	body, err := r.fetch(ctx, w)
	if body != nil {
		r.bodies[w] = body
	}
	return body, err
}

// fetch reads the report body of a window from the store.
func (r *Reporter) fetch(ctx context.Context, w usage.Window) ([]byte, error) {
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
