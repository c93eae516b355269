package gateway

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// A configuration of thousands of routes must reach a peer within one exchange
// over a link of 10 Mbit/s, which it shares with callers.
func TestLargeConfigurationFitsASmallLink(t *testing.T) {
	const (
		routes   = 3000
		linkRate = 10e6 / 8   // bytes a second
		share    = 0.25 * 0.5 // of the link, for the half second of an exchange
	)
	spec, err := json.Marshal(standin.DocumentWithRoutes(1, standin.Key, routes))
	must.NoError(t, err)
	packed := pack(spec)
	must.LessEq(t, int(linkRate*share), len(packed))
	unpacked, err := unpack(packed)
	must.NoError(t, err)
	must.Eq(t, spec, unpacked)
}

func TestUnpackRefusesWhatIsNoConfiguration(t *testing.T) {
	packed := pack([]byte(`{"version":1}`))
	for name, bad := range map[string][]byte{
		"plain":     []byte(`{"version":1}`),
		"cut short": packed[:len(packed)-6],
		"too large": pack(make([]byte, maxUnpacked+1)),
	} {
		_, err := unpack(bad)
		must.Error(t, err, must.Sprint(name))
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(pack([]byte(`{"version":1}`)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, packed []byte) {
		spec, err := unpack(packed)
		if err == nil {
			must.LessEq(t, maxUnpacked, len(spec))
		}
	})
}
