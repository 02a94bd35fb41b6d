package usage

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"quetzalhook"
)

// OpenPrefix is the key prefix of the objects with the usage of windows that are not
// frozen yet; see package billing.
const OpenPrefix = "usage/open/"

// Source is the incarnation of a host that counted the usage.
type Source struct {
	Host        quetzalhook.HostID      `cbor:"host" json:"host"`
	Incarnation quetzalhook.Incarnation `cbor:"incarnation" json:"incarnation"`
}

// record is the format of an object below usage/open/WINDOW/ and of a replica.
// It holds the totals of some keys. The records of a source are merged by
// maximum.
type record struct {
	Source Source `cbor:"source"`
	Window Window `cbor:"window"`
	// Final states that the source adds no more usage to the window and that the
	// store has all its totals.
	Final bool   `cbor:"final"`
	Lines []Line `cbor:"lines"`
}

// objectKey returns the key of the object that holds a part of the source's usage
// in a window.
func (s Source) objectKey(w Window, part string) string {
	return fmt.Sprintf("%s%s/%s/%d/%s", OpenPrefix, w, s.Host, s.Incarnation, part)
}

// Totals holds the usage of one source in one window that is in the store.
type Totals struct {
	Final bool
	Used  map[Key]Amount
}

// Collect reads the totals of a window from the store and merges them by
// source.
func Collect(ctx context.Context, store quetzalhook.Store, w Window) (map[Source]*Totals, error) {
	list, err := store.List(ctx, OpenPrefix+string(w)+"/")
	if err != nil {
		return nil, errors.Wrapf(err, "list usage of %s", w)
	}
	all := make(map[Source]*Totals)
	for _, o := range list.Objects {
		var r record
		if err := cbor.Unmarshal(o.Value, &r); err != nil {
			return nil, errors.Wrapf(err, "decode %s", o.Key)
		}
		t := all[r.Source]
		if t == nil {
			t = &Totals{Used: make(map[Key]Amount)}
			all[r.Source] = t
		}
		t.Final = t.Final || r.Final
		for _, l := range r.Lines {
			t.Used[l.Key] = t.Used[l.Key].Max(l.Amount)
		}
	}
	return all, nil
}

// Sum adds up the totals of all sources.
func Sum(all map[Source]*Totals) map[Key]Amount {
	sum := make(map[Key]Amount)
	for _, t := range all {
		for k, a := range t.Used {
			sum[k] = sum[k].Plus(a)
		}
	}
	return sum
}

// Sorted returns the totals as lines, sorted by customer and class.
func Sorted(used map[Key]Amount) []Line {
	lines := make([]Line, 0, len(used))
	for k, a := range used {
		lines = append(lines, Line{Key: k, Amount: a})
	}
	slices.SortFunc(lines, func(a, b Line) int {
		if c := strings.Compare(string(a.Key.Customer), string(b.Key.Customer)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Key.Class), string(b.Key.Class))
	})
	return lines
}
