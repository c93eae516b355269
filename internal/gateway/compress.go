package gateway

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxConfigBytes limits the decompressed size of a configuration or a list of targets
// received from a peer. The users' store holds values of a megabyte, and 4,800 targets
// take 2 MB.
const maxConfigBytes = 16 << 20

// compress compresses a configuration or a list of targets. Thousands of similar routes shrink to a
// tenth, which the link of a small host can carry within one exchange with a peer.
func compress(spec []byte) []byte {
	var compressed bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&compressed, gzip.BestSpeed) // fails only for an invalid level
	_, _ = writer.Write(spec)                                     // writing to a bytes.Buffer never fails
	_ = writer.Close()
	return compressed.Bytes()
}

// decompress reverses compress. It returns an error if the result would be larger
// than maxConfigBytes.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress data of a peer: %w", err)
	}
	spec, err := io.ReadAll(io.LimitReader(reader, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress data of a peer: %w", err)
	}
	if len(spec) > maxConfigBytes {
		return nil, fmt.Errorf("decompress data of a peer: more than %d bytes", maxConfigBytes)
	}
	return spec, nil
}
