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

// schema is the part of a JSON schema that names keys.
type schema struct {
	Properties map[string]schema `json:"properties"`
	Items      *schema           `json:"items"`
}

// TestSchemaNamesEveryKey compares the published schema with the document's
// types.
func TestSchemaNamesEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../../examples/environment.schema.json")
	must.NoError(t, err)
	var published schema
	must.NoError(t, json.Unmarshal(text, &published))
	compareKeys(t, "document", reflect.TypeFor[Document](), published)
}

func compareKeys(t *testing.T, name string, described reflect.Type, published schema) {
	t.Helper()
	var keys []string
	for field := range described.Fields() {
		key := field.Tag.Get("yaml")
		if key == "" {
			continue
		}
		keys = append(keys, key)
		if kind := field.Type; kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct {
			must.NotNil(t, published.Properties[key].Items, must.Sprint(key))
			compareKeys(t, key, kind.Elem(), *published.Properties[key].Items)
		}
	}
	slices.Sort(keys)
	must.Eq(t, keys, slices.Sorted(maps.Keys(published.Properties)), must.Sprint(name))
}
