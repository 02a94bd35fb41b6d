package lint

import (
	"cmp"
	"slices"
)

// Entry is an entry of a table with its fields, as its format has them.
type Entry struct {
	Section string
	Name    string
	Fields  []Value
}

// Value is the value of a field. Shown is what may be printed of it.
type Value struct {
	Field string
	Value string
	Shown string
}

// ChangeKind is how an entry differs.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference of one entry.
type Change struct {
	Kind    ChangeKind    `json:"kind"`
	Section string        `json:"section"`
	Name    string        `json:"name"`
	Fields  []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field of a changed entry, with what may be printed of its values.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// entryKey identifies an entry in both tables: the n-th with a name in a section.
type entryKey struct {
	section, name string
	n             int
}

func index(list []Entry) map[entryKey]*Entry {
	byKey := make(map[entryKey]*Entry, len(list))
	next := make(map[entryKey]int)
	for i := range list {
		key := entryKey{section: list[i].Section, name: list[i].Name}
		n := next[key]
		next[key]++
		key.n = n
		byKey[key] = &list[i]
	}
	return byKey
}

// Compare returns the changes from one list of entries to another, sorted by section
// and name. The order of entries does not count.
func Compare(from, to []Entry) []Change {
	before, after := index(from), index(to)
	type keyed struct {
		key    entryKey
		change Change
	}
	var list []keyed
	for key, e := range after {
		c := Change{Kind: Added, Section: e.Section, Name: e.Name}
		if old := before[key]; old != nil {
			c.Kind, c.Fields = Changed, compareFields(old.Fields, e.Fields)
			if len(c.Fields) == 0 {
				continue
			}
		}
		list = append(list, keyed{key, c})
	}
	for key, e := range before {
		if after[key] == nil {
			list = append(list, keyed{key, Change{Kind: Removed, Section: e.Section, Name: e.Name}})
		}
	}
	slices.SortFunc(list, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(a.key.section, b.key.section), cmp.Compare(a.key.name, b.key.name), cmp.Compare(a.key.n, b.key.n))
	})
	changes := make([]Change, len(list))
	for i := range list {
		changes[i] = list[i].change
	}
	return changes
}

// compareFields returns the fields that differ, those of to first.
func compareFields(from, to []Value) []FieldChange {
	before := make(map[string]Value, len(from))
	for _, v := range from {
		before[v.Field] = v
	}
	var changes []FieldChange
	for _, v := range to {
		old, ok := before[v.Field]
		delete(before, v.Field)
		if !ok {
			changes = append(changes, FieldChange{v.Field, "", v.Shown})
		} else if old.Value != v.Value {
			c := FieldChange{v.Field, old.Shown, v.Shown}
			if c.Old == c.New {
				c.New += " (others)" // what differs must not be printed
			}
			changes = append(changes, c)
		}
	}
	for _, v := range from {
		if _, isLeft := before[v.Field]; isLeft {
			changes = append(changes, FieldChange{v.Field, v.Shown, ""})
		}
	}
	return changes
}
