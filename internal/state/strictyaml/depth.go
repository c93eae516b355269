package strictyaml

import (
	"github.com/goccy/go-yaml/token"
)

// maxDepth is how deeply brackets may be nested. The parser's time grows with
// the square of their depth.
const maxDepth = 32

// tooDeep returns the token at which the nesting exceeds maxDepth, or nil.
func tooDeep(tokens token.Tokens) *token.Token {
	depth := 0
	for _, current := range tokens {
		switch current.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		if depth > maxDepth {
			return current
		}
	}
	return nil
}
