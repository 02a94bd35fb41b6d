package configuration

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxMistakes is the maximum number of mistakes that an error lists. It keeps the
// error short if the input is not a configuration document at all and every line
// of it is a mistake.
const maxMistakes = 1000

// Parse decodes a YAML document and validates it. Its error is an *Error that
// lists all mistakes, up to maxMistakes.
func Parse(data []byte) (*Document, error) {
	tokens := lexer.Tokenize(string(data))
	if m := checkNesting(tokens); m != nil {
		return nil, &Error{Op: "parse", Kind: ErrorInvalid, Mistakes: []Mistake{*m}}
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, &Error{Op: "parse", Kind: ErrorInvalid, Mistakes: []Mistake{syntaxMistake(err)}}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		m := Mistake{Line: 1, Column: 1, Message: fmt.Sprintf("want one document, got %d", countBodies(file))}
		return nil, &Error{Op: "parse", Kind: ErrorInvalid, Mistakes: []Mistake{m}}
	}
	body := file.Docs[0].Body
	d := &Document{}
	b := binder{}
	b.bind(body, reflect.ValueOf(d).Elem(), "")
	mistakes := b.mistakes
	if len(mistakes) == 0 {
		mistakes = d.mistakes()
		if len(mistakes) > 0 {
			addPositions(body, mistakes)
		}
	}
	if len(mistakes) > 0 {
		sortMistakes(mistakes)
		return nil, &Error{Op: "parse", Kind: ErrorInvalid, Mistakes: mistakes[:min(len(mistakes), maxMistakes)]}
	}
	d.buildIndex()
	return d, nil
}

func countBodies(file *ast.File) int {
	n := 0
	for _, doc := range file.Docs {
		if doc.Body != nil {
			n++
		}
	}
	return n
}

func syntaxMistake(err error) Mistake {
	m := Mistake{Line: 1, Column: 1, Message: err.Error()}
	var e yaml.Error
	if errors.As(err, &e) {
		m.Message = e.GetMessage()
		m.Line, m.Column = position(e.GetToken())
	}
	return m
}

// addPositions sets the line and column of mistakes that validation found. To find
// them, it decodes body a second time and records the position of each path.
func addPositions(body ast.Node, mistakes []Mistake) {
	b := binder{positions: make(map[string]*token.Token)}
	b.bind(body, reflect.ValueOf(&Document{}).Elem(), "")
	for i, m := range mistakes {
		mistakes[i].Line, mistakes[i].Column = position(b.nearest(m.Path))
	}
}

func sortMistakes(list []Mistake) {
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

func position(t *token.Token) (line, column int) {
	if t == nil || t.Position == nil {
		return 1, 1
	}
	return t.Position.Line, t.Position.Column
}

// binder decodes YAML syntax nodes into a Go value and collects all mistakes. The
// strict decoder of the YAML library is not used because it stops at the first
// unknown field.
type binder struct {
	mistakes  []Mistake
	positions map[string]*token.Token // by path; nil if positions are not recorded
}

func (b *binder) addMistake(n ast.Node, path, format string, args ...any) {
	line, column := position(n.GetToken())
	b.mistakes = append(b.mistakes, Mistake{Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...)})
}

// nearest returns the token at path or, if the document has no such field, the
// token of the closest parent that it has.
func (b *binder) nearest(path string) *token.Token {
	for {
		if t, ok := b.positions[path]; ok || path == "" {
			return t
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// bind decodes n into v. It records mistakes and, if b.positions is set, the token
// at each path.
func (b *binder) bind(n ast.Node, v reflect.Value, path string) {
	if b.positions != nil {
		if _, ok := b.positions[path]; !ok {
			b.positions[path] = n.GetToken()
		}
	}
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		b.addMistake(n, path, "anchors, aliases and tags are not supported")
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		b.bindStruct(n, v, path)
	case reflect.Slice:
		b.bindList(n, v, path)
	default:
		b.bindScalar(n, v, path)
	}
}

func (b *binder) bindList(n ast.Node, v reflect.Value, path string) {
	if _, ok := n.(*ast.NullNode); ok {
		return
	}
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		b.addMistake(n, path, "want a list, got %s", nodeName(n))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		b.bind(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (b *binder) bindStruct(n ast.Node, v reflect.Value, path string) {
	var pairs []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		pairs = m.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{m}
	case *ast.NullNode:
		return
	default:
		b.addMistake(n, path, "want fields, got %s", nodeName(n))
		return
	}
	seen := make(map[string]bool)
	for _, pair := range pairs {
		name := pair.Key.String()
		if seen[name] {
			b.addMistake(pair.Key, path, "field %q is given twice", name)
			continue
		}
		seen[name] = true
		field, ok := fieldByName(v, name)
		if !ok {
			b.addMistake(pair.Key, path, "unknown field %q", name)
			continue
		}
		b.bind(pair.Value, field, strings.TrimPrefix(path+"."+name, "."))
	}
}

func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("yaml") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (b *binder) bindScalar(n ast.Node, v reflect.Value, path string) {
	scalar, ok := n.(ast.ScalarNode)
	if !ok {
		b.addMistake(n, path, "want %s, got %s", kindName(v), nodeName(n))
		return
	}
	if !setScalar(v, scalar.GetValue()) {
		b.addMistake(n, path, "want %s, got %q", kindName(v), fmt.Sprint(scalar.GetValue()))
	}
}

// setScalar sets v from a YAML scalar and reports whether the value has the right
// type and is in range. If it returns false, the content of v is undefined.
func setScalar(v reflect.Value, value any) bool {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		text, _ := value.(string)
		d, err := time.ParseDuration(text)
		v.SetInt(int64(d))
		return err == nil
	}
	switch v.Kind() {
	case reflect.String:
		text, ok := value.(string)
		v.SetString(text)
		return ok
	case reflect.Bool:
		set, ok := value.(bool)
		v.SetBool(set)
		return ok
	case reflect.Int:
		f, ok := toFloat(value)
		v.SetInt(int64(f))
		return ok && f == math.Trunc(f) && math.Abs(f) <= math.MaxInt32
	case reflect.Float64:
		f, ok := toFloat(value)
		v.SetFloat(f)
		return ok && !math.IsNaN(f) && !math.IsInf(f, 0)
	default:
		return false
	}
}

func toFloat(value any) (float64, bool) {
	switch n := value.(type) {
	case uint64:
		return float64(n), true
	case int64:
		return float64(n), true
	case float64:
		return n, true
	default:
		return 0, false
	}
}

// kindName returns how messages describe the values that v accepts.
func kindName(v reflect.Value) string {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		return "a duration such as 250ms"
	}
	switch v.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "text"
	}
}

// nodeName returns how messages describe a syntax node.
func nodeName(n ast.Node) string {
	switch n.(type) {
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "fields"
	case *ast.NullNode:
		return "nothing"
	default:
		return fmt.Sprintf("%q", n.String())
	}
}
