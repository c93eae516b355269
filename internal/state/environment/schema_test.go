package environment

import (
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// schemaNode is the part of a JSON schema that lists keys.
type schemaNode struct {
	Properties map[string]schemaNode `json:"properties"`
	Items      *schemaNode           `json:"items"`
}

// TestSchemaNamesEveryKey checks that the published schema lists the same keys as
// the yaml tags of Document.
func TestSchemaNamesEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../../examples/environment.schema.json")
	must.NoError(t, err)
	var published schemaNode
	must.NoError(t, json.Unmarshal(text, &published))
	compareKeys(t, "document", reflect.TypeFor[Document](), published)
}

func compareKeys(t *testing.T, name string, goType reflect.Type, published schemaNode) {
	t.Helper()
	var keys []string
	for field := range goType.Fields() {
		key := field.Tag.Get("yaml")
		if key == "" {
			continue
		}
		keys = append(keys, key)
		if fieldType := field.Type; fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct {
			must.NotNil(t, published.Properties[key].Items, must.Sprint(key))
			compareKeys(t, key, fieldType.Elem(), *published.Properties[key].Items)
		}
	}
	slices.Sort(keys)
	must.Eq(t, keys, slices.Sorted(maps.Keys(published.Properties)), must.Sprint(name))
}
