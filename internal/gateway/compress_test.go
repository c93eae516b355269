package gateway

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// A configuration of thousands of routes must reach a peer within one exchange over a
// link of 10 Mbit/s that also carries callers' requests.
func TestLargeConfigurationFitsASmallLink(t *testing.T) {
	const (
		routes   = 3000
		linkRate = 10e6 / 8   // bytes per second
		share    = 0.25 * 0.5 // a quarter of the link for the half second of an exchange
	)
	spec, err := json.Marshal(standin.DocumentWithExtraRoutes(1, standin.WorkspaceKey, routes))
	must.NoError(t, err)
	compressed := compress(spec)
	must.LessEq(t, int(linkRate*share), len(compressed))
	decompressed, err := decompress(compressed)
	must.NoError(t, err)
	must.Eq(t, spec, decompressed)
}

func TestDecompressRejectsInvalidInput(t *testing.T) {
	compressed := compress([]byte(`{"version":1}`))
	for name, invalid := range map[string][]byte{
		"not compressed": []byte(`{"version":1}`),
		"truncated":      compressed[:len(compressed)-6],
		"too large":      compress(make([]byte, maxConfigBytes+1)),
	} {
		_, err := decompress(invalid)
		must.Error(t, err, must.Sprint(name))
	}
}

func FuzzDecompress(f *testing.F) {
	f.Add(compress([]byte(`{"version":1}`)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, compressed []byte) {
		spec, err := decompress(compressed)
		if err == nil {
			must.LessEq(t, maxConfigBytes, len(spec))
		}
	})
}
