package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// outputJSON is the value of --output for machine-readable output.
const outputJSON = "json"

// table is human-readable output.
type table struct {
	title  string // a line above; may be empty
	header []string
	rows   [][]string
	footer string // a line below; may be empty
}

func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes the value as JSON or the tables as text, depending on --output.
func (c *command) print(value any, tables ...*table) error {
	if c.output == outputJSON {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	for _, table := range tables {
		if err := c.printTable(table); err != nil {
			return err
		}
	}
	return nil
}

func (c *command) printTable(t *table) error {
	const padding = 2
	writer := tabwriter.NewWriter(c.stdout, 0, 0, padding, ' ', 0)
	if t.title != "" {
		_, _ = fmt.Fprintln(writer, t.title)
	}
	if len(t.rows) > 0 && len(t.header) > 0 {
		_, _ = fmt.Fprintln(writer, strings.ToUpper(strings.Join(t.header, "\t")))
	}
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	if t.footer != "" {
		_, _ = fmt.Fprintln(writer, t.footer)
	}
	return writer.Flush()
}
