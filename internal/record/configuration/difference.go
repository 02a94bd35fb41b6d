package configuration

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Difference returns the changes from a to b as lines for operators. A line
// starts with "+" for a new entry, with "-" for a removed one, and with "~" for a
// changed one. A nil document counts as empty.
func Difference(a, b *Document) []string {
	if a == nil {
		a = &Document{}
	}
	if b == nil {
		b = &Document{}
	}
	var lines []string
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		f := va.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		section := f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Slice {
			lines = append(lines, listDifference(section, va.Field(i), vb.Field(i))...)
		} else if changes := fieldChanges(va.Field(i), vb.Field(i)); changes != "" {
			lines = append(lines, "~ "+section+": "+changes)
		}
	}
	return lines
}

// listDifference returns the changed, new and removed entries of one list of the
// document.
func listDifference(section string, a, b reflect.Value) []string {
	old, seen := make(map[string]reflect.Value, a.Len()), make(map[string]bool, b.Len())
	for i := range a.Len() {
		old[entryName(a.Index(i))] = a.Index(i)
	}
	var lines []string
	for i := range b.Len() {
		entry := b.Index(i)
		name := entryName(entry)
		seen[name] = true
		before, ok := old[name]
		if !ok {
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", section, name, fieldChanges(reflect.Zero(entry.Type()), entry)))
		} else if changes := fieldChanges(before, entry); changes != "" {
			lines = append(lines, fmt.Sprintf("~ %s %s: %s", section, name, changes))
		}
	}
	for i := range a.Len() {
		if name := entryName(a.Index(i)); !seen[name] {
			lines = append(lines, fmt.Sprintf("- %s %s", section, name))
		}
	}
	return lines
}

// entryName returns the text that identifies an entry within its list.
func entryName(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case Distance:
		return e.From + " to " + e.To
	case Route:
		return e.Path
	case CapacityBound:
		return e.Zone
	default:
		return v.FieldByName("Name").String()
	}
}

// fieldChanges returns the fields of two structs that differ, separated by
// commas. For a field that is zero in a, it gives only the value in b.
func fieldChanges(a, b reflect.Value) string {
	var changes []string
	for i := range a.NumField() {
		x, y := a.Field(i), b.Field(i)
		if reflect.DeepEqual(x.Interface(), y.Interface()) || x.Kind() == reflect.Slice && x.Len()+y.Len() == 0 {
			continue
		}
		name := a.Type().Field(i).Tag.Get("yaml")
		if x.IsZero() {
			changes = append(changes, name+" "+formatValue(y))
		} else {
			changes = append(changes, name+" "+formatValue(x)+" -> "+formatValue(y))
		}
	}
	return strings.Join(changes, ", ")
}

func formatValue(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case time.Duration:
		return x.String()
	case []string:
		return "[" + strings.Join(x, " ") + "]"
	default:
		return fmt.Sprint(x)
	}
}
