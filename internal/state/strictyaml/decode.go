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

// location is the path of a value as a linked list, so that the path's text is
// built only if there is a problem to report.
type location struct {
	parent  *location
	element any // a key or an index
}

// path returns the keys and indexes from the root to the value.
func (l *location) path() []any {
	if l == nil {
		return nil
	}
	return append(l.parent.path(), l.element)
}

// decodeInto decodes the root node into the struct that target points to.
func (s *Source) decodeInto(root ast.Node, target any) {
	s.decodeValue(root, reflect.ValueOf(target).Elem(), nil)
}

// reportNode adds a problem for a node that has the wrong type or an invalid value.
func (s *Source) reportNode(node ast.Node, loc *location, allowed string) {
	s.addProblem(nodeLine(node), formatPath(loc.path()), describeNode(node), allowed)
}

// decodeValue decodes a node into target and reports it if the types do not match.
func (s *Source) decodeValue(node ast.Node, target reflect.Value, loc *location) {
	if node == nil || node.Type() == ast.NullType {
		return // equivalent to a missing key
	}
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.decodeText(node, unmarshaler, loc)
		return
	}
	if target.Type() == durationType {
		s.decodeDuration(node, target, loc)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		s.decodeStruct(node, target, loc)
	case reflect.Slice:
		s.decodeSlice(node, target, loc)
	case reflect.String:
		if text, ok := scalarText(node); ok {
			target.SetString(text)
			return
		}
		s.reportNode(node, loc, "a text")
	case reflect.Bool:
		if boolean, ok := node.(*ast.BoolNode); ok {
			target.SetBool(boolean.Value)
			return
		}
		s.reportNode(node, loc, "true or false")
	case reflect.Int, reflect.Int32, reflect.Int64:
		s.decodeInt(node, target, loc)
	case reflect.Float64:
		s.decodeFloat(node, target, loc)
	default:
		panic("strictyaml: unsupported field type " + target.Type().String())
	}
}

func (s *Source) decodeText(node ast.Node, target encoding.TextUnmarshaler, loc *location) {
	text, ok := scalarText(node)
	if !ok {
		s.reportNode(node, loc, "a text")
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		s.reportNode(node, loc, allowedText(target))
	}
}

// allowedText returns the description of the accepted format from the target's
// AllowedText method, if it has one.
func allowedText(target any) string {
	if describer, ok := target.(interface{ AllowedText() string }); ok {
		return describer.AllowedText()
	}
	return "a valid text"
}

// DurationFormat describes the format of durations in problems.
const DurationFormat = `a duration such as "500ms", "10s" or "5m"`

func (s *Source) decodeDuration(node ast.Node, target reflect.Value, loc *location) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		s.reportNode(node, loc, DurationFormat)
		return
	}
	parsed, err := time.ParseDuration(text.Value)
	if err != nil {
		s.reportNode(node, loc, DurationFormat)
		return
	}
	target.SetInt(int64(parsed))
}

func (s *Source) decodeInt(node ast.Node, target reflect.Value, loc *location) {
	const allowed = "a whole number"
	number, ok := node.(*ast.IntegerNode)
	if !ok {
		s.reportNode(node, loc, allowed)
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
	s.reportNode(node, loc, fmt.Sprintf("a whole number of at most %d bits", target.Type().Bits()))
}

func (s *Source) decodeFloat(node ast.Node, target reflect.Value, loc *location) {
	switch number := node.(type) {
	case *ast.FloatNode:
		target.SetFloat(number.Value)
	case *ast.IntegerNode:
		target.Set(reflect.ValueOf(number.Value).Convert(target.Type()))
	default:
		s.reportNode(node, loc, "a number")
	}
}

func (s *Source) decodeSlice(node ast.Node, target reflect.Value, loc *location) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		s.reportNode(node, loc, "a list")
		return
	}
	values := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, element := range sequence.Values {
		s.decodeValue(element, values.Index(i), &location{loc, i})
	}
	target.Set(values)
}

func (s *Source) decodeStruct(node ast.Node, target reflect.Value, loc *location) {
	if _, ok := node.(ast.MapNode); !ok {
		s.reportNode(node, loc, "a mapping")
		return
	}
	fields, keys := structFields(target.Type())
	seen := make(map[string]bool)
	for _, pair := range mappingPairs(node) {
		key := keyText(pair)
		keyLoc := &location{loc, key}
		index, ok := fields[key]
		switch {
		case !ok:
			s.addProblem(nodeLine(pair.Key), formatPath(keyLoc.path()), "an unknown key", strings.Join(keys, ", "))
		case seen[key]:
			s.addProblem(nodeLine(pair.Key), formatPath(keyLoc.path()), "the key a second time", "each key once")
		default:
			s.decodeValue(pair.Value, target.Field(index), keyLoc)
		}
		seen[key] = true
	}
}

// structFields returns the indexes of the struct's fields by their yaml keys, and
// the keys in the order of the fields.
func structFields(structType reflect.Type) (map[string]int, []string) {
	fields := make(map[string]int)
	var keys []string
	for i := range structType.NumField() {
		key, _, _ := strings.Cut(structType.Field(i).Tag.Get("yaml"), ",")
		if key != "" && key != "-" {
			fields[key] = i
			keys = append(keys, key)
		}
	}
	return fields, keys
}

// mappingPairs returns the keys and values of a mapping.
func mappingPairs(node ast.Node) []*ast.MappingValueNode {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}
	}
	return nil
}

func keyText(pair *ast.MappingValueNode) string {
	if text, ok := scalarText(pair.Key); ok {
		return text
	}
	return pair.Key.String()
}

// scalarText returns the text of a plain, quoted or block scalar. The text of a
// number is that of the file.
func scalarText(node ast.Node) (string, bool) {
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

// nodeLine returns the line of a node, or 0 if it is unknown.
func nodeLine(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// describeNode describes a node in the Found text of a problem.
func describeNode(node ast.Node) string {
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
		return quoteValue(node.Value)
	case *ast.LiteralNode:
		return quoteValue(node.Value.Value)
	}
	return node.GetToken().Value
}
