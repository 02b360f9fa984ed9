// Package schema_test checks that the schema of the RPCs stays compatible.
package schema_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

const goldenFile = "testdata/descriptor.golden"

var add = flag.Bool("add", false, "add new fields, enum values and methods to the golden descriptor")

// TestCompatible guards against changes that break compatibility with older
// nodes: it fails if a number, name or type of the golden descriptor was changed
// or removed. New lines must be added with -add, which never removes any.
func TestCompatible(t *testing.T) {
	is := is.New(t)
	current := describe()
	golden := readGolden(t)
	for _, line := range golden {
		if !slices.Contains(current, line) {
			t.Errorf("golden line %q is no longer in the schema", line)
		}
	}
	added := addedLines(current, golden)
	if *add && !t.Failed() {
		all := slices.Concat(golden, added)
		slices.Sort(all)
		is.NoErr(os.WriteFile(goldenFile, []byte(strings.Join(all, "\n")+"\n"), 0o644))
		return
	}
	for _, line := range added {
		t.Errorf("schema line %q is not in the golden descriptor: run go test ./schema -add", line)
	}
}

// addedLines returns the lines of current that golden does not contain.
func addedLines(current, golden []string) []string {
	var added []string
	for _, line := range current {
		if !slices.Contains(golden, line) {
			added = append(added, line)
		}
	}
	return added
}

func readGolden(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatalf("golden descriptor: %v", err)
	}
	return strings.Fields(string(content))
}

// describe returns one sorted line for each field, enum value and method.
func describe() []string {
	var lines []string
	protoregistry.GlobalFiles.RangeFilesByPackage("cowsliptally.v1", func(file protoreflect.FileDescriptor) bool {
		lines = append(lines, describeMessages(file.Messages())...)
		lines = append(lines, describeEnums(file.Enums())...)
		lines = append(lines, describeServices(file.Services())...)
		return true
	})
	slices.Sort(lines)
	return lines
}

func describeMessages(messages protoreflect.MessageDescriptors) []string {
	var lines []string
	for i := range messages.Len() {
		message := messages.Get(i)
		for j := range message.Fields().Len() {
			lines = append(lines, describeField(message.Fields().Get(j)))
		}
	}
	return lines
}

func describeField(field protoreflect.FieldDescriptor) string {
	kind := field.Kind().String()
	if field.Message() != nil {
		kind = string(field.Message().FullName())
	}
	if field.Enum() != nil {
		kind = string(field.Enum().FullName())
	}
	return fmt.Sprintf("field:%s:%d:%s:%s", field.FullName(), field.Number(), field.Cardinality(), kind)
}

func describeEnums(enums protoreflect.EnumDescriptors) []string {
	var lines []string
	for i := range enums.Len() {
		values := enums.Get(i).Values()
		for j := range values.Len() {
			value := values.Get(j)
			lines = append(lines, fmt.Sprintf("value:%s:%d", value.FullName(), value.Number()))
		}
	}
	return lines
}

func describeServices(services protoreflect.ServiceDescriptors) []string {
	var lines []string
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			method := methods.Get(j)
			line := fmt.Sprintf("method:%s:%s:%s", method.FullName(), method.Input().FullName(), method.Output().FullName())
			lines = append(lines, line)
		}
	}
	return lines
}
