// Package strictyaml decodes YAML into structs and reports all problems of a file
// at once. Each problem has the line and the path, the value that was found and a
// description of the allowed values. Unknown and duplicate keys are problems, and
// so are aliases, as a small file with aliases can expand to a large one.
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

// maxQuotedBytes is the maximum length of the value that a problem quotes.
const maxQuotedBytes = 80

// Problem is an error in a file or in a value that overrides one of the file.
type Problem struct {
	Origin  string `json:"origin"` // the file, or the flag that overrides its value
	Line    int    `json:"line"`   // 0: the problem has no line
	Path    string `json:"path"`   // such as engines[3].capacity; empty: the whole file
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

// Error holds all problems of a file, sorted by line.
type Error struct {
	Problems []Problem
}

// Error implements error. The text has one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Source is a decoded file and its problems. Code that validates the decoded values
// adds problems to it.
type Source struct {
	name            string
	root            ast.Node
	problems        []Problem
	reportedPaths   map[string]bool   // paths that have a problem
	overrideOrigins map[string]string // by path, for values that override those of the file
}

// Decode decodes text into the struct that target points to. A field whose value is
// missing or has the wrong type keeps its previous value.
func Decode(name string, text []byte, target any) *Source {
	source := &Source{name: name, reportedPaths: make(map[string]bool), overrideOrigins: make(map[string]string)}
	tokens := lexer.Tokenize(string(text))
	if excess := firstExcessBracket(tokens); excess != nil {
		source.addProblem(excess.Position.Line, "", "brackets nested deeper", fmt.Sprintf("%d levels", maxBracketDepth))
		return source
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		source.addSyntaxError(err)
		return source
	}
	if len(file.Docs) == 0 || isEmptyNode(file.Docs[0].Body) {
		source.addProblem(0, "", "an empty file", "a mapping")
		return source
	}
	if len(file.Docs) > 1 {
		source.addProblem(nodeLine(file.Docs[1].Body), "", fmt.Sprintf("%d documents", len(file.Docs)), "one document")
	}
	source.root = file.Docs[0].Body
	source.decodeInto(source.root, target)
	return source
}

// IsMapping reports whether the text is YAML with a mapping at the top level, so that
// the decoded values can be validated.
func (s *Source) IsMapping() bool {
	_, ok := s.root.(ast.MapNode)
	return ok
}

func isEmptyNode(node ast.Node) bool {
	return node == nil || node.Type() == ast.NullType || node.Type() == ast.CommentType
}

// addSyntaxError adds the problem that the file is not valid YAML.
func (s *Source) addSyntaxError(err error) {
	// SyntaxError.Error quotes the source, which takes time quadratic in the
	// length of the source.
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		s.addProblem(syntax.Token.Position.Line, "", syntax.Message, "YAML")
		return
	}
	s.addProblem(0, "", err.Error(), "YAML")
}

// SetOrigin records that the value at a path is from origin instead of the file.
func (s *Source) SetOrigin(origin string, path ...any) {
	s.overrideOrigins[formatPath(path)] = origin
}

// ReportInvalid adds a problem for an invalid value at a path, which consists of keys and
// indexes. If the value is from the file and its path has a problem already, ReportInvalid
// does nothing.
func (s *Source) ReportInvalid(found any, allowed string, path ...any) {
	pathText := formatPath(path)
	if origin, ok := s.overrideOrigins[pathText]; ok {
		s.problems = append(s.problems, Problem{Origin: origin, Path: pathText, Found: quoteValue(found), Allowed: allowed})
		return
	}
	s.addProblem(s.lineOf(path), pathText, quoteValue(found), allowed)
}

// ReportMissing adds the problem that the required value at a path is missing.
func (s *Source) ReportMissing(allowed string, path ...any) {
	s.addProblem(s.lineOf(path), formatPath(path), "nothing", allowed)
}

// addProblem adds a problem of the file unless the path has one already.
func (s *Source) addProblem(line int, path, found, allowed string) {
	if path != "" && s.reportedPaths[path] {
		return
	}
	s.reportedPaths[path] = true
	s.problems = append(s.problems, Problem{Origin: s.name, Line: line, Path: path, Found: truncate(found), Allowed: allowed})
}

// Err returns an *Error with all problems, or nil if there are none.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	problems := slices.Clone(s.problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &Error{Problems: problems}
}

// lineOf returns the line of the value at a path or, if the file does not have it,
// of its nearest ancestor.
func (s *Source) lineOf(path []any) int {
	node, nearestLine := s.root, 1
	for _, element := range path {
		node = childNode(node, element)
		if node == nil {
			return nearestLine
		}
		nearestLine = nodeLine(node)
	}
	return nearestLine
}

// childNode returns the value under a key or index, or nil.
func childNode(node ast.Node, element any) ast.Node {
	switch element := element.(type) {
	case int:
		sequence, ok := node.(*ast.SequenceNode)
		if ok && element < len(sequence.Values) {
			return sequence.Values[element]
		}
	case string:
		for _, pair := range mappingPairs(node) {
			if keyText(pair) == element {
				return pair.Value
			}
		}
	}
	return nil
}

// formatPath returns the text of a path, such as engines[3].capacity.
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

func quoteValue(value any) string {
	if text, ok := value.(string); ok {
		return fmt.Sprintf("%q", truncate(text))
	}
	return fmt.Sprint(value)
}

func truncate(text string) string {
	if len(text) > maxQuotedBytes {
		return text[:maxQuotedBytes] + "..."
	}
	return text
}
