package routing

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// maxBases is the number of earlier tables from which a host can tell the difference.
	maxBases = 4
	// maxInflatedBytes limits a table or a patch once it is decompressed.
	maxInflatedBytes = 64 << 20
)

// canonical encodes equal tables to equal bytes, although they contain maps.
var canonical = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// tablePatch is the difference between two versions of a table.
type tablePatch struct {
	Base      int64     `cbor:"1,keyasint"` // version of the table to which it applies
	Version   int64     `cbor:"2,keyasint"`
	Routes    []listRun `cbor:"3,keyasint"`
	Services  []listRun `cbor:"4,keyasint"`
	Customers []listRun `cbor:"5,keyasint"`
	Limits    Limits    `cbor:"6,keyasint"`
	// Digest is that of the resulting table; see digest.
	Digest uint64 `cbor:"7,keyasint"`
}

// listRun is a part of a list: Count entries of the earlier list from From on, then Added.
type listRun struct {
	From  int               `cbor:"1,keyasint,omitempty"`
	Count int               `cbor:"2,keyasint,omitempty"`
	Added []cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// digest returns the hash of the encoded table.
func digest(t *Table) (uint64, error) {
	data, err := canonical.Marshal(t)
	return xxhash.Sum64(data), err
}

// newPatch returns the difference of t from an earlier table.
func newPatch(base, t *Table) (*tablePatch, error) {
	p := &tablePatch{Base: base.Version, Version: t.Version, Limits: t.Limits}
	var err error
	if p.Routes, err = diffLists(base.Routes, t.Routes); err != nil {
		return nil, err
	}
	if p.Services, err = diffLists(base.Services, t.Services); err != nil {
		return nil, err
	}
	if p.Customers, err = diffLists(base.Customers, t.Customers); err != nil {
		return nil, err
	}
	p.Digest, err = digest(t)
	return p, err
}

// apply returns the table that results from the patch. It fails if base is not the table
// that the patch was made for.
func (p *tablePatch) apply(base *Table) (*Table, error) {
	t := &Table{Version: p.Version, Limits: p.Limits}
	var err error
	if t.Routes, err = applyRuns(base.Routes, p.Routes); err != nil {
		return nil, err
	}
	if t.Services, err = applyRuns(base.Services, p.Services); err != nil {
		return nil, err
	}
	if t.Customers, err = applyRuns(base.Customers, p.Customers); err != nil {
		return nil, err
	}
	got, err := digest(t)
	if err != nil {
		return nil, err
	}
	if got != p.Digest {
		return nil, errors.Errorf("patch from version %d to %d: the result has another digest", p.Base, p.Version)
	}
	return t, nil
}

// diffLists returns list as runs of entries of base and new entries.
func diffLists[T any](base, list []T) ([]listRun, error) {
	positions := make(map[string]int, len(base))
	for i := range base {
		data, err := canonical.Marshal(base[i])
		if err != nil {
			return nil, err
		}
		positions[string(data)] = i
	}
	var runs []listRun
	for i := range list {
		data, err := canonical.Marshal(list[i])
		if err != nil {
			return nil, err
		}
		at, known := positions[string(data)]
		var last *listRun
		if len(runs) > 0 {
			last = &runs[len(runs)-1]
		}
		switch {
		case known && last != nil && len(last.Added) == 0 && last.From+last.Count == at:
			last.Count++
		case known:
			runs = append(runs, listRun{From: at, Count: 1})
		case last != nil:
			last.Added = append(last.Added, data)
		default:
			runs = append(runs, listRun{Added: []cbor.RawMessage{data}})
		}
	}
	return runs, nil
}

// applyRuns returns the list that runs describe.
func applyRuns[T any](base []T, runs []listRun) ([]T, error) {
	var list []T
	for _, r := range runs {
		if r.From < 0 || r.Count < 0 || r.Count > len(base)-r.From {
			return nil, errors.Errorf("patch takes entries %d to %d of %d", r.From, r.From+r.Count, len(base))
		}
		list = append(list, base[r.From:r.From+r.Count]...)
		for _, data := range r.Added {
			var entry T
			if err := cbor.Unmarshal(data, &entry); err != nil {
				return nil, err
			}
			list = append(list, entry)
		}
	}
	return list, nil
}

// tableEncoder encodes the table in force, and its differences from earlier ones, once for
// all hosts that ask. It is safe for concurrent use.
type tableEncoder struct {
	mu      sync.Mutex
	table   *Table
	full    []byte
	patches map[int64][]byte // by the version of the earlier table
}

// encode returns the patch from base to t, or all of t if base is nil.
func (e *tableEncoder) encode(t, base *Table) (full, patch []byte, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table != t {
		e.table, e.full, e.patches = t, nil, make(map[int64][]byte)
	}
	if base == nil {
		if e.full == nil {
			e.full, err = deflate(t)
		}
		return e.full, nil, err
	}
	if e.patches[base.Version] == nil {
		p, err := newPatch(base, t)
		if err != nil {
			return nil, nil, err
		}
		if e.patches[base.Version], err = deflate(p); err != nil {
			return nil, nil, err
		}
	}
	return nil, e.patches[base.Version], nil
}

// deflate returns v encoded and compressed.
func deflate(v any) ([]byte, error) {
	data, err := canonical.Marshal(v)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// inflate decodes what deflate returned.
func inflate(data []byte, v any) error {
	r := flate.NewReader(bytes.NewReader(data))
	defer func() { _ = r.Close() }()
	plain, err := io.ReadAll(io.LimitReader(r, maxInflatedBytes+1))
	if err != nil {
		return err
	}
	if len(plain) > maxInflatedBytes {
		return errors.Errorf("more than %d bytes after decompression", maxInflatedBytes)
	}
	return cbor.Unmarshal(plain, v)
}
