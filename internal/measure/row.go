// Package measure runs real daemons before stand-in engines and measures what
// the system promises: cache reuse, skew, added time, control traffic, spread of
// the configuration and work sent to leaving engines. It is a tool for
// developers; it ends only the processes that it has started.
package measure

import (
	"encoding/json"
	"io"
)

// Better says which direction of a value is good.
type Better string

// The directions.
const (
	Lower  Better = "lower"
	Higher Better = "higher"
)

// Row is one measured value. A baseline's row has no bound.
type Row struct {
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Daemons  int      `json:"daemons"`
	Engines  int      `json:"engines"`
	Metric   string   `json:"metric"`
	Value    float64  `json:"value"`
	Bound    *float64 `json:"bound,omitempty"`
	Better   Better   `json:"better"`
	Policy   string   `json:"policy"`
}

// reporter writes the rows of one scenario.
type reporter struct {
	output   io.Writer
	scenario string
	options  Options
	daemons  int
	engines  int
}

// add writes a row; a nil bound leaves it out.
func (r reporter) add(policy, metric string, value float64, better Better, bound *float64) error {
	return json.NewEncoder(r.output).Encode(Row{
		Scenario: r.scenario,
		Seed:     r.options.Seed,
		Daemons:  r.daemons,
		Engines:  r.engines,
		Metric:   metric,
		Value:    value,
		Bound:    bound,
		Better:   better,
		Policy:   policy,
	})
}

func bound(value float64) *float64 { return &value }
