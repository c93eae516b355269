package strictyaml

import (
	"github.com/goccy/go-yaml/token"
)

// maxBracketDepth is the maximum nesting depth of brackets. The parser's run time
// is quadratic in this depth.
const maxBracketDepth = 32

// firstExcessBracket returns the first token at which the nesting exceeds
// maxBracketDepth, or nil.
func firstExcessBracket(tokens token.Tokens) *token.Token {
	depth := 0
	for _, current := range tokens {
		switch current.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		if depth > maxBracketDepth {
			return current
		}
	}
	return nil
}
