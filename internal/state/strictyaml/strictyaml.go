// Package strictyaml decodes YAML into structs and reports everything that is
// wrong at once: each problem with its line, path, what was found and what is
// allowed. Aliases are refused, so that a small file cannot expand to a large
// one.
package strictyaml

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// maxFoundLength bounds how much of a wrong value a problem quotes.
const maxFoundLength = 80

// Problem is one thing that is wrong with a file.
type Problem struct {
	Origin  string `json:"origin"` // the file, or the flag that replaced its value
	Line    int    `json:"line"`   // 0: not a line of the file
	Path    string `json:"path"`   // such as engines[3].capacity; empty: the whole
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	position := p.Origin
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d", p.Origin, p.Line)
	}
	if p.Path != "" {
		position += ": " + p.Path
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", position, p.Found, p.Allowed)
}

// Error holds all the problems of one file, in the order of its lines.
type Error struct {
	Problems []Problem
}

// Error implements error with one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Source is a decoded file, to which further checks add their problems.
type Source struct {
	name     string
	root     ast.Node
	problems []Problem
	reported map[string]bool   // paths that have a problem
	replaced map[string]string // origins of values that are not from the file
}

// Decode decodes text into the struct that target points to. Values that are
// wrong keep what target held before.
func Decode(name string, text []byte, target any) *Source {
	source := &Source{name: name, reported: make(map[string]bool), replaced: make(map[string]string)}
	tokens := lexer.Tokenize(string(text))
	if deep := tooDeep(tokens); deep != nil {
		source.add(deep.Position.Line, "", "brackets nested deeper", fmt.Sprintf("%d levels", maxDepth))
		return source
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		source.addSyntax(err)
		return source
	}
	if len(file.Docs) == 0 || isEmpty(file.Docs[0].Body) {
		source.add(0, "", "an empty file", "a mapping")
		return source
	}
	if len(file.Docs) > 1 {
		source.add(line(file.Docs[1].Body), "", fmt.Sprintf("%d documents", len(file.Docs)), "one document")
	}
	source.root = file.Docs[0].Body
	source.decode(source.root, target)
	return source
}

// Readable reports whether the text was YAML with a mapping at its top, so that
// further checks have something to look at.
func (s *Source) Readable() bool {
	_, ok := s.root.(ast.MapNode)
	return ok
}

func isEmpty(node ast.Node) bool {
	return node == nil || node.Type() == ast.NullType || node.Type() == ast.CommentType
}

// addSyntax reports a file that is not YAML.
func (s *Source) addSyntax(err error) {
	// The library's own text of the error quotes the source, in a time that grows
	// with the square of its length.
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		s.add(syntax.Token.Position.Line, "", syntax.Message, "YAML")
		return
	}
	s.add(0, "", err.Error(), "YAML")
}

// Replace notes that the value at a path is not the file's, but that of origin.
func (s *Source) Replace(origin string, path ...any) {
	s.replaced[formatPath(path)] = origin
}

// Report adds a problem with the value at a path, unless that has one already.
// The path's elements are keys and indices.
func (s *Source) Report(found any, allowed string, path ...any) {
	text := formatPath(path)
	if origin, ok := s.replaced[text]; ok {
		s.problems = append(s.problems, Problem{Origin: origin, Path: text, Found: quote(found), Allowed: allowed})
		return
	}
	s.add(s.lineOf(path), text, quote(found), allowed)
}

// Missing adds the problem that the value at a path is needed.
func (s *Source) Missing(allowed string, path ...any) {
	s.add(s.lineOf(path), formatPath(path), "nothing", allowed)
}

func (s *Source) add(line int, path, found, allowed string) {
	if path != "" && s.reported[path] {
		return
	}
	s.reported[path] = true
	s.problems = append(s.problems, Problem{Origin: s.name, Line: line, Path: path, Found: shorten(found), Allowed: allowed})
}

// Err returns an *Error with all the problems, or nil.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	problems := slices.Clone(s.problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &Error{Problems: problems}
}

// lineOf returns the line of the value at a path, or of the nearest part of the
// path that the file has.
func (s *Source) lineOf(path []any) int {
	node, found := s.root, 1
	for _, element := range path {
		node = child(node, element)
		if node == nil {
			return found
		}
		found = line(node)
	}
	return found
}

// child returns the value under a key or index, or nil.
func child(node ast.Node, element any) ast.Node {
	switch element := element.(type) {
	case int:
		sequence, ok := node.(*ast.SequenceNode)
		if ok && element < len(sequence.Values) {
			return sequence.Values[element]
		}
	case string:
		for _, pair := range pairs(node) {
			if keyOf(pair) == element {
				return pair.Value
			}
		}
	}
	return nil
}

func formatPath(path []any) string {
	var text strings.Builder
	for _, element := range path {
		if index, ok := element.(int); ok {
			fmt.Fprintf(&text, "[%d]", index)
			continue
		}
		if text.Len() > 0 {
			text.WriteByte('.')
		}
		fmt.Fprint(&text, element)
	}
	return text.String()
}

func quote(found any) string {
	if text, ok := found.(string); ok {
		return fmt.Sprintf("%q", shorten(text))
	}
	return fmt.Sprint(found)
}

func shorten(text string) string {
	if len(text) > maxFoundLength {
		return text[:maxFoundLength] + "..."
	}
	return text
}
