package gateway

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxUnpacked bounds a configuration that a peer has sent, in bytes. The users'
// store holds values of a megabyte.
const maxUnpacked = 16 << 20

// pack compresses a configuration: thousands of similar routes shrink to a tenth,
// which a small host's link carries within an exchange.
func pack(spec []byte) []byte {
	var packed bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&packed, gzip.BestSpeed) // fails for unknown levels only
	_, _ = writer.Write(spec)                                 // a buffer takes everything
	_ = writer.Close()
	return packed.Bytes()
}

// unpack undoes pack.
func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	spec, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	if len(spec) > maxUnpacked {
		return nil, fmt.Errorf("unpack configuration: more than %d bytes", maxUnpacked)
	}
	return spec, nil
}
