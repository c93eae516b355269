package docsync

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/protocol/peerpb"
)

// ErrDocumentMismatch is returned for a document whose text does not have the
// announced digest, and for steps that cannot be applied to the text at hand.
var ErrDocumentMismatch = errors.New("document does not match the announced version")

// Diff returns the edits that turn one text into another. It compares whole items, as
// returned by splitItems, and also finds items that have moved.
func Diff(from, to []byte) []*peerpb.DocumentEdit {
	offsets := make(map[uint64]int) // offset in from, by digest of the item
	offset := 0
	for _, item := range splitItems(from) {
		offsets[xxhash.Sum64(item)] = offset
		offset += len(item)
	}
	builder := new(editBuilder)
	for _, item := range splitItems(to) {
		start, ok := offsets[xxhash.Sum64(item)]
		if adjacent := builder.copyEnd(); bytes.HasPrefix(from[min(adjacent, len(from)):], item) {
			start, ok = adjacent, true
		}
		if ok && bytes.HasPrefix(from[start:], item) {
			builder.copy(start, len(item))
		} else {
			builder.insert(item)
		}
	}
	return builder.edits
}

// splitItems splits a YAML text before each line that starts a list item or is not
// indented, such as a top-level key.
func splitItems(text []byte) [][]byte {
	var items [][]byte
	start := 0
	for position := 0; position < len(text); {
		if position > start && startsItem(text[position:]) {
			items = append(items, text[start:position])
			start = position
		}
		end := bytes.IndexByte(text[position:], '\n')
		if end < 0 {
			break
		}
		position += end + 1
	}
	if start < len(text) {
		items = append(items, text[start:])
	}
	return items
}

func startsItem(line []byte) bool {
	trimmed := bytes.TrimLeft(line, " ")
	return len(trimmed) == len(line) || bytes.HasPrefix(trimmed, []byte("- "))
}

// editBuilder collects edits, each of which copies a range of the old text and then
// inserts new text. It merges adjacent copies and adjacent inserts into one edit.
type editBuilder struct {
	edits []*peerpb.DocumentEdit
}

// lastEdit returns the last edit, and adds an empty one if there is none.
func (b *editBuilder) lastEdit() *peerpb.DocumentEdit {
	if len(b.edits) == 0 {
		b.edits = append(b.edits, new(peerpb.DocumentEdit))
	}
	return b.edits[len(b.edits)-1]
}

// copyEnd returns the offset in the old text at which the last copy ended.
func (b *editBuilder) copyEnd() int {
	edit := b.lastEdit()
	return int(edit.GetCopyFrom() + edit.GetCopyLength())
}

func (b *editBuilder) copy(offset, length int) {
	edit := b.lastEdit()
	if len(edit.GetInsert()) == 0 && b.copyEnd() == offset {
		edit.CopyLength += uint64(length)
		return
	}
	b.edits = append(b.edits, &peerpb.DocumentEdit{CopyFrom: uint64(offset), CopyLength: uint64(length)})
}

func (b *editBuilder) insert(item []byte) {
	edit := b.lastEdit()
	edit.Insert = append(edit.Insert, item...)
}

// ApplySteps applies steps received from a peer to a text, one after another. It
// checks the digest of the result of each step.
func ApplySteps(text []byte, steps []*peerpb.DocumentStep) ([]byte, error) {
	for _, step := range steps {
		result, err := applyEdits(text, step.GetEdits())
		if err != nil {
			return nil, fmt.Errorf("rebuild generation %d: %w", step.GetGeneration(), err)
		}
		if xxhash.Sum64(result) != step.GetDigest() {
			return nil, fmt.Errorf("rebuild generation %d: %w", step.GetGeneration(), ErrDocumentMismatch)
		}
		text = result
	}
	return text, nil
}

func applyEdits(text []byte, edits []*peerpb.DocumentEdit) ([]byte, error) {
	var result []byte
	size := uint64(len(text))
	for _, edit := range edits {
		offset, length := edit.GetCopyFrom(), edit.GetCopyLength()
		if offset > size || length > size-offset {
			return nil, fmt.Errorf("copy of %d bytes at offset %d is out of range: %w", length, offset, ErrDocumentMismatch)
		}
		result = append(result, text[offset:offset+length]...)
		result = append(result, edit.GetInsert()...)
	}
	return result, nil
}
