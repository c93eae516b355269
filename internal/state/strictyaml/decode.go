package strictyaml

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

// location is where a value stands. It is linked, so that its text is built
// only for a problem.
type location struct {
	parent  *location
	element any // a key or an index
}

func (l *location) path() []any {
	if l == nil {
		return nil
	}
	return append(l.parent.path(), l.element)
}

func (s *Source) decode(root ast.Node, target any) {
	s.value(root, reflect.ValueOf(target).Elem(), nil)
}

// wrong reports a node of the wrong type or with a wrong value.
func (s *Source) wrong(node ast.Node, at *location, allowed string) {
	s.add(line(node), formatPath(at.path()), describe(node), allowed)
}

// value decodes one node.
func (s *Source) value(node ast.Node, target reflect.Value, at *location) {
	if node == nil || node.Type() == ast.NullType {
		return // as if it were left out
	}
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.text(node, unmarshaler, at)
		return
	}
	if target.Type() == durationType {
		s.duration(node, target, at)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		s.structure(node, target, at)
	case reflect.Slice:
		s.slice(node, target, at)
	case reflect.String:
		if text, ok := scalar(node); ok {
			target.SetString(text)
			return
		}
		s.wrong(node, at, "a text")
	case reflect.Bool:
		if boolean, ok := node.(*ast.BoolNode); ok {
			target.SetBool(boolean.Value)
			return
		}
		s.wrong(node, at, "true or false")
	case reflect.Int, reflect.Int32, reflect.Int64:
		s.integer(node, target, at)
	case reflect.Float64:
		s.float(node, target, at)
	default:
		panic("strictyaml: a field of the unsupported type " + target.Type().String())
	}
}

func (s *Source) text(node ast.Node, target encoding.TextUnmarshaler, at *location) {
	text, ok := scalar(node)
	if !ok {
		s.wrong(node, at, "a text")
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		s.wrong(node, at, allowedOf(target))
	}
}

// allowedOf asks a type what its texts look like.
func allowedOf(target any) string {
	if documented, ok := target.(interface{ AllowedText() string }); ok {
		return documented.AllowedText()
	}
	return "a valid text"
}

// AllowedDuration describes the texts of durations.
const AllowedDuration = `a duration such as "500ms", "10s" or "5m"`

func (s *Source) duration(node ast.Node, target reflect.Value, at *location) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		s.wrong(node, at, AllowedDuration)
		return
	}
	parsed, err := time.ParseDuration(text.Value)
	if err != nil {
		s.wrong(node, at, AllowedDuration)
		return
	}
	target.SetInt(int64(parsed))
}

func (s *Source) integer(node ast.Node, target reflect.Value, at *location) {
	const allowed = "a whole number"
	number, ok := node.(*ast.IntegerNode)
	if !ok {
		s.wrong(node, at, allowed)
		return
	}
	value := reflect.ValueOf(number.Value)
	if value.CanInt() && !target.OverflowInt(value.Int()) {
		target.SetInt(value.Int())
		return
	}
	if value.CanUint() && value.Uint() <= math.MaxInt64 && !target.OverflowInt(int64(value.Uint())) {
		target.SetInt(int64(value.Uint()))
		return
	}
	s.wrong(node, at, fmt.Sprintf("a whole number of at most %d bits", target.Type().Bits()))
}

func (s *Source) float(node ast.Node, target reflect.Value, at *location) {
	switch number := node.(type) {
	case *ast.FloatNode:
		target.SetFloat(number.Value)
	case *ast.IntegerNode:
		target.Set(reflect.ValueOf(number.Value).Convert(target.Type()))
	default:
		s.wrong(node, at, "a number")
	}
}

func (s *Source) slice(node ast.Node, target reflect.Value, at *location) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		s.wrong(node, at, "a list")
		return
	}
	values := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, element := range sequence.Values {
		s.value(element, values.Index(i), &location{at, i})
	}
	target.Set(values)
}

func (s *Source) structure(node ast.Node, target reflect.Value, at *location) {
	if _, ok := node.(ast.MapNode); !ok {
		s.wrong(node, at, "a mapping")
		return
	}
	fields, keys := fieldsOf(target.Type())
	seen := make(map[string]bool)
	for _, pair := range pairs(node) {
		key := keyOf(pair)
		under := &location{at, key}
		index, known := fields[key]
		switch {
		case !known:
			s.add(line(pair.Key), formatPath(under.path()), "an unknown key", strings.Join(keys, ", "))
		case seen[key]:
			s.add(line(pair.Key), formatPath(under.path()), "the key a second time", "each key once")
		default:
			s.value(pair.Value, target.Field(index), under)
		}
		seen[key] = true
	}
}

// fieldsOf returns the struct's fields by their keys, and the keys in order.
func fieldsOf(structure reflect.Type) (map[string]int, []string) {
	fields := make(map[string]int)
	var keys []string
	for i := range structure.NumField() {
		key, _, _ := strings.Cut(structure.Field(i).Tag.Get("yaml"), ",")
		if key != "" && key != "-" {
			fields[key] = i
			keys = append(keys, key)
		}
	}
	return fields, keys
}

// pairs returns the keys and values of a mapping.
func pairs(node ast.Node) []*ast.MappingValueNode {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}
	}
	return nil
}

func keyOf(pair *ast.MappingValueNode) string {
	if text, ok := scalar(pair.Key); ok {
		return text
	}
	return pair.Key.String()
}

// scalar returns the text of a plain, quoted or block value. Numbers are taken
// as they are written.
func scalar(node ast.Node) (string, bool) {
	switch node := node.(type) {
	case *ast.StringNode:
		return node.Value, true
	case *ast.LiteralNode:
		return node.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode:
		return node.GetToken().Value, true
	}
	return "", false
}

func line(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// describe says what a node is, in a problem's words.
func describe(node ast.Node) string {
	switch node := node.(type) {
	case ast.MapNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "an anchor or alias"
	case *ast.TagNode:
		return "a tag"
	case *ast.StringNode:
		return quote(node.Value)
	case *ast.LiteralNode:
		return quote(node.Value.Value)
	}
	return node.GetToken().Value
}
