package declaration

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the generated files")

// Guards against a schema or reference page that is out of date with the types.
func TestGeneratedFiles(t *testing.T) {
	for name, want := range map[string][]byte{
		"declaration.schema.json": Schema(),
		"declaration.md":          Reference(),
	} {
		path := filepath.Join("..", "..", "docs", name)
		if *update {
			require.NoError(t, os.WriteFile(path, want, 0o644))
		}
		got, err := os.ReadFile(path)
		require.NoError(t, err)
		assert.Equal(t, string(want), string(got), "run go test ./internal/declaration -run TestGeneratedFiles -update")
	}
}

// Guards against a schema that rejects valid texts or accepts unknown fields, and against
// sample declarations that are invalid.
func TestSchemaAgreesWithReader(t *testing.T) {
	schema := compileSchema(t)
	samples, err := filepath.Glob("../../examples/*.yaml")
	require.NoError(t, err)
	checked := 0
	for _, path := range samples {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		if Digest(text) == "" {
			continue // another kind of sample, such as a job
		}
		_, err = Check(path, text)
		assert.NoError(t, err)
		assert.NoError(t, schema.Validate(toJSON(t, text)), path)
		checked++
	}
	assert.Equal(t, 2, checked)
	for _, bad := range []string{
		"version: 1\n",
		minimal + "  - {name: x, urgncy: high}\n",
		minimal + "  - {name: x, urgency: 3}\n",
		minimal + "limits: {claim_retention: 5}\n",
	} {
		assert.Error(t, schema.Validate(toJSON(t, []byte(bad))), bad)
		_, err := Check("bad", []byte(bad))
		assert.Error(t, err, bad)
	}
}

func compileSchema(t *testing.T) *jsonschema.Schema {
	var raw any
	require.NoError(t, json.Unmarshal(Schema(), &raw))
	c := jsonschema.NewCompiler()
	require.NoError(t, c.AddResource("declaration.json", raw))
	schema, err := c.Compile("declaration.json")
	require.NoError(t, err)
	return schema
}

func toJSON(t *testing.T, text []byte) any {
	data, err := yaml.YAMLToJSON(text)
	require.NoError(t, err)
	var v any
	require.NoError(t, json.Unmarshal(data, &v))
	return v
}
