package configuration

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// maxNesting is the deepest nesting of a document. A sound one needs six levels. The
// parser recurses, and keeps the path of each value, so that its memory grows with
// the square of the depth.
const maxNesting = 50

// checkNesting returns a mistake at the first token that is nested too deeply, or
// nil.
func checkNesting(tokens token.Tokens) *Mistake {
	flow := 0
	line, prefixes := 0, 0 // tags, anchors and aliases, which no document has
	var columns []int      // of the block collections around the token
	for _, t := range tokens {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flow++
		case token.SequenceEndType, token.MappingEndType:
			flow = max(flow-1, 0)
		case token.TagType, token.AnchorType, token.AliasType:
			prefixes++
		case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType:
			column := t.Position.Column
			if t.Type == token.MappingValueType && t.Prev != nil && t.Prev.Position.Line == t.Position.Line {
				column = t.Prev.Position.Column // of the key
			}
			for len(columns) > 0 && columns[len(columns)-1] > column {
				columns = columns[:len(columns)-1]
			}
			if len(columns) == 0 || columns[len(columns)-1] < column {
				columns = append(columns, column)
			}
		}
		if t.Position.Line != line {
			line, prefixes = t.Position.Line, 0
		}
		if flow+len(columns)+prefixes > maxNesting {
			m := &Mistake{Message: fmt.Sprintf("nested deeper than %d levels", maxNesting)}
			m.Line, m.Column = position(t)
			return m
		}
	}
	return nil
}
