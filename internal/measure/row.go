// Package measure runs real daemons in front of stand-in engines and measures the
// performance that the system promises: cache reuse, load skew, added latency, control
// traffic, propagation of the environment document, requests sent to leaving engines,
// and the cost of each request, stream and workspace. It is a tool for developers and
// kills only the processes that it started.
package measure

import (
	"encoding/json"
	"io"
)

// Direction says whether a lower or a higher value is better.
type Direction string

// The directions of improvement.
const (
	LowerIsBetter  Direction = "lower"
	HigherIsBetter Direction = "higher"
)

// Row is one measured value. Bound is the limit that the value must meet. Rows of
// baselines and of values that are only informative have none.
type Row struct {
	Scenario string    `json:"scenario"`
	Seed     uint64    `json:"seed"`
	Daemons  int       `json:"daemons"`
	Engines  int       `json:"engines"`
	Metric   string    `json:"metric"`
	Value    float64   `json:"value"`
	Bound    *float64  `json:"bound,omitempty"`
	Better   Direction `json:"better"`
	Policy   string    `json:"policy"`
}

// reporter writes the rows of one scenario.
type reporter struct {
	output   io.Writer
	scenario string
	options  Options
	daemons  int
	engines  int
}

// add writes a row as a line of JSON. A nil bound is omitted.
func (r reporter) add(policy, metric string, value float64, better Direction, bound *float64) error {
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

// bound returns a pointer to a bound for reporter.add.
func bound(value float64) *float64 { return &value }
