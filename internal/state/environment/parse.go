package environment

import (
	"fmt"

	"hemlockknot/internal/state/strictyaml"
)

// documentName is the name in error messages of a document that was not read
// from a file.
const documentName = "environment document"

// Parse decodes and validates a document. If the document is invalid, the error
// is a *strictyaml.Error that lists all problems.
func Parse(text []byte) (*Document, error) {
	return ParseNamed(documentName, text)
}

// ParseNamed is Parse for a document from a file. Error messages contain the
// file's name.
func ParseNamed(name string, text []byte) (*Document, error) {
	if len(text) > MaxBytes {
		return nil, &strictyaml.Error{Problems: []strictyaml.Problem{{
			Origin:  name,
			Found:   fmt.Sprintf("%d bytes", len(text)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxBytes),
		}}}
	}
	document := new(Document)
	source := strictyaml.Decode(name, text, document)
	if source.IsMapping() {
		newChecker(document, source).check()
	}
	if err := source.Err(); err != nil {
		return nil, err
	}
	document.applyDefaultsAndIndex()
	return document, nil
}
