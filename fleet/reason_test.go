package fleet

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestReasonsListsEveryConstant guards against a constant that is missing from
// Reasons; it reads the constants from the source.
func TestReasonsListsEveryConstant(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	is.NoErr(err)
	var declared []Reason
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue || len(spec.Values) != 1 {
			return true
		}
		literal, isLiteral := spec.Values[0].(*ast.BasicLit)
		is.True(isLiteral) // every constant is a literal
		text, err := strconv.Unquote(literal.Value)
		is.NoErr(err)
		declared = append(declared, Reason(text))
		return true
	})
	listed := Reasons()
	slices.Sort(declared)
	slices.Sort(listed)
	is.Equal(listed, declared)
	is.Equal(len(slices.Compact(listed)), len(declared)) // no duplicates
}

func TestRouteMatches(t *testing.T) {
	is := is.New(t)
	route := Route{Host: "a", Method: "GET", PathPrefix: "/x/"}
	is.True(route.Matches("a", "GET", "/x/1"))
	is.True(!route.Matches("b", "GET", "/x/1"))
	is.True(!route.Matches("a", "PUT", "/x/1"))
	is.True(!route.Matches("a", "GET", "/x"))
}

// TestConfigurationsAreImmutable guards against a With method that changes the
// configuration on which it is called.
func TestConfigurationsAreImmutable(t *testing.T) {
	is := is.New(t)
	first := Configuration{}.WithService(Service{Name: "ledger", MinHealthySlots: 4})
	second := first.WithService(Service{Name: "ledger", MinHealthySlots: 8}).WithLimit(Limit{Organisation: "o"})
	third := second.WithoutService("ledger")
	service, found := first.Service("ledger")
	is.True(found)
	is.Equal(service.MinHealthySlots, 4)
	is.Equal(len(first.Limits()), 0)
	service, _ = second.Service("ledger")
	is.Equal(service.MinHealthySlots, 8)
	is.Equal(len(third.Services()), 0)
	is.Equal(len(third.Limits()), 1)
}
