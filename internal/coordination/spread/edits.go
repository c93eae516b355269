package spread

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/protocol/peerpb"
)

// ErrMismatch says that steps do not lead to the digest that they promise.
var ErrMismatch = errors.New("steps do not lead to the promised document")

// Diff returns the edits that turn one text into another. It compares list
// items as wholes, wherever they have moved to.
func Diff(from, to []byte) []*peerpb.DocumentEdit {
	known := make(map[uint64]int) // offset in from, by the item's digest
	offset := 0
	for _, item := range items(from) {
		known[xxhash.Sum64(item)] = offset
		offset += len(item)
	}
	builder := new(editBuilder)
	for _, item := range items(to) {
		start, ok := known[xxhash.Sum64(item)]
		if next := builder.nextCopy(); bytes.HasPrefix(from[min(next, len(from)):], item) {
			start, ok = next, true
		}
		if ok && bytes.HasPrefix(from[start:], item) {
			builder.copy(start, len(item))
		} else {
			builder.insert(item)
		}
	}
	return builder.edits
}

// items splits a YAML text before each line that starts a list item or a
// top-level key.
func items(text []byte) [][]byte {
	var parts [][]byte
	start := 0
	for position := 0; position < len(text); {
		if position > start && startsItem(text[position:]) {
			parts = append(parts, text[start:position])
			start = position
		}
		end := bytes.IndexByte(text[position:], '\n')
		if end < 0 {
			break
		}
		position += end + 1
	}
	if start < len(text) {
		parts = append(parts, text[start:])
	}
	return parts
}

func startsItem(line []byte) bool {
	trimmed := bytes.TrimLeft(line, " ")
	return len(trimmed) == len(line) || bytes.HasPrefix(trimmed, []byte("- "))
}

// editBuilder joins neighbouring copies and inserts.
type editBuilder struct {
	edits []*peerpb.DocumentEdit
}

func (b *editBuilder) last() *peerpb.DocumentEdit {
	if len(b.edits) == 0 {
		b.edits = append(b.edits, new(peerpb.DocumentEdit))
	}
	return b.edits[len(b.edits)-1]
}

// nextCopy returns where the last copy ended.
func (b *editBuilder) nextCopy() int {
	last := b.last()
	return int(last.GetCopyFrom() + last.GetCopyLength())
}

func (b *editBuilder) copy(start, length int) {
	last := b.last()
	if len(last.GetInsert()) == 0 && b.nextCopy() == start {
		last.CopyLength += uint64(length)
		return
	}
	b.edits = append(b.edits, &peerpb.DocumentEdit{CopyFrom: uint64(start), CopyLength: uint64(length)})
}

func (b *editBuilder) insert(item []byte) {
	last := b.last()
	last.Insert = append(last.Insert, item...)
}

// Rebuild applies a peer's steps to a text and checks each result's digest.
func Rebuild(text []byte, steps []*peerpb.DocumentStep) ([]byte, error) {
	for _, step := range steps {
		next, err := applyEdits(text, step.GetEdits())
		if err != nil {
			return nil, fmt.Errorf("rebuild generation %d: %w", step.GetGeneration(), err)
		}
		if xxhash.Sum64(next) != step.GetDigest() {
			return nil, fmt.Errorf("rebuild generation %d: %w", step.GetGeneration(), ErrMismatch)
		}
		text = next
	}
	return text, nil
}

func applyEdits(text []byte, edits []*peerpb.DocumentEdit) ([]byte, error) {
	var next []byte
	size := uint64(len(text))
	for _, edit := range edits {
		from, length := edit.GetCopyFrom(), edit.GetCopyLength()
		if from > size || length > size-from {
			return nil, fmt.Errorf("copy of %d bytes from %d: %w", length, from, ErrMismatch)
		}
		next = append(next, text[from:from+length]...)
		next = append(next, edit.GetInsert()...)
	}
	return next, nil
}
