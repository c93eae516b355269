package environment

import (
	"fmt"

	"hemlockknot/internal/state/strictyaml"
)

// documentName names the document in errors when it comes from no file.
const documentName = "environment document"

// Parse reads and checks a document. The error is a *strictyaml.Error with
// everything that is wrong with it.
func Parse(text []byte) (*Document, error) {
	return ParseNamed(documentName, text)
}

// ParseNamed is Parse for a document from a file, whose name the errors carry.
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
	if source.Readable() {
		newChecker(document, source).check()
	}
	if err := source.Err(); err != nil {
		return nil, err
	}
	document.build()
	return document, nil
}
