package refusal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// declaredReasons returns the values of the Reason constants, read from the source.
func declaredReasons(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "refusal.go", nil, 0)
	must.NoError(t, err)
	var reasons []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Reason" {
			value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			must.NoError(t, err)
			reasons = append(reasons, value)
		}
		return true
	})
	return reasons
}

func TestEveryReasonIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/ERRORS.md")
	must.NoError(t, err)
	reasons := declaredReasons(t)
	must.Positive(t, len(reasons))
	for _, reason := range reasons {
		must.StrContains(t, string(page), "| `"+reason+"` |")
	}
	must.Eq(t, len(reasons), strings.Count(string(page), "\n| `"))
}

func TestProtoRoundTrip(t *testing.T) {
	sent := NotRun(EngineBusy, 1500*time.Millisecond, "engine %s", "e1")
	sent.BetterEngine = "e2"
	must.Eq(t, sent, FromProto(sent.ToProto()))
}

func TestWriteHTTP(t *testing.T) {
	recorder := httptest.NewRecorder()
	NotRun(EngineBusy, 1500*time.Millisecond, "busy").WriteHTTP(recorder, "id-1")
	must.Eq(t, 503, recorder.Code)
	must.Eq(t, "2", recorder.Header().Get("Retry-After"))
	must.Eq(t, "not_run", recorder.Header().Get(HeaderOutcome))
	must.StrContains(t, recorder.Body.String(), `"retry_after_ms":1500`)

	recorder = httptest.NewRecorder()
	Unknown(HomeLost, "lost").WriteHTTP(recorder, "id-2")
	must.Eq(t, 502, recorder.Code)
	must.Eq(t, "", recorder.Header().Get("Retry-After"))
}
