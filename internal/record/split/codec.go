package split

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

const (
	// maxValue is the maximum size of a stored history in bytes.
	maxValue = 128 << 10
	// maxEpoch is the maximum epoch, which JSON numbers represent exactly.
	maxEpoch = 1 << 53
	// maxAge is the maximum age of a superseded split.
	maxAge = time.Hour
)

// wireHistory is the stored form of a History.
type wireHistory struct {
	Epoch  int64       `json:"epoch"`
	Splits []wireSplit `json:"splits"` // the newest first
}

type wireSplit struct {
	Builds map[quetzalhook.Build]int `json:"builds"` // parts by build
	// Superseded is the time in ms, as of the write, since the split was superseded.
	Superseded int64 `json:"superseded-ms,omitempty"`
}

// Encode returns the stored form of a history, as of now.
func (h History) Encode(now time.Time) ([]byte, error) {
	w := wireHistory{Epoch: h.epoch}
	for _, k := range h.splits {
		s := wireSplit{Builds: make(map[quetzalhook.Build]int)}
		for _, b := range k.split.builds {
			s.Builds[b.build] = b.parts
		}
		if !k.superseded.IsZero() {
			s.Superseded = min(max(now.Sub(k.superseded), 0), maxAge).Milliseconds()
		}
		w.Splits = append(w.Splits, s)
	}
	value, err := json.Marshal(w)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: ErrorCorrupt, Err: err}
	}
	return value, nil
}

// Decode returns the history of a stored value that was read at now.
func Decode(now time.Time, value []byte) (History, error) {
	if len(value) > maxValue {
		return History{}, corrupt(errors.Errorf("%d bytes are more than %d", len(value), maxValue))
	}
	var w wireHistory
	if err := json.Unmarshal(value, &w); err != nil {
		return History{}, corrupt(err)
	}
	if w.Epoch < 1 || w.Epoch > maxEpoch {
		return History{}, corrupt(errors.Errorf("epoch %d is not from 1 to %d", w.Epoch, int64(maxEpoch)))
	}
	if len(w.Splits) < 1 || len(w.Splits) > maxSplits {
		return History{}, corrupt(errors.Errorf("the number of splits, %d, is not from 1 to %d", len(w.Splits), maxSplits))
	}
	h := History{epoch: w.Epoch}
	for i, ws := range w.Splits {
		s, err := ws.split()
		if err != nil {
			return History{}, corrupt(err)
		}
		k := kept{split: s}
		age := time.Duration(ws.Superseded) * time.Millisecond
		switch {
		case ws.Superseded < 0 || ws.Superseded > maxAge.Milliseconds():
			return History{}, corrupt(errors.Errorf("superseded-ms %d is not from 0 to %d", ws.Superseded, maxAge.Milliseconds()))
		case i > 0:
			k.superseded = now.Add(-age)
		}
		h.splits = append(h.splits, k)
	}
	return h.sorted(), nil
}

// split returns the split of its stored form.
func (w wireSplit) split() (Split, error) {
	var s Split
	if len(w.Builds) < 1 || len(w.Builds) > maxBuilds {
		return s, errors.Errorf("the number of builds, %d, is not from 1 to %d", len(w.Builds), maxBuilds)
	}
	for b, n := range w.Builds {
		if b == "" || len(b) > maxName {
			return s, errors.Errorf("the name of a build has %d bytes, not from 1 to %d", len(b), maxName)
		}
		if n < 1 || n > parts {
			return s, errors.Errorf("%d parts of a build are not from 1 to %d", n, parts)
		}
		s.builds = append(s.builds, weighted{b, n})
	}
	s.sort()
	return s, nil
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

// ErrorCorrupt reports a stored history that cannot be read.
const ErrorCorrupt ErrorKind = "corrupt"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "split: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func corrupt(err error) error { return &Error{Op: "decode", Kind: ErrorCorrupt, Err: err} }
