package configfile

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Describe returns one line for each change: "+" with the fields of a new entry, "-"
// for a deleted one, "~" with the changed fields of an existing one.
func Describe(from *cowsliptallyv1.Configuration, changes []*cowsliptallyv1.Change) string {
	var text strings.Builder
	for _, change := range changes {
		text.WriteString(describe(from, change))
		text.WriteByte('\n')
	}
	return text.String()
}

func describe(from *cowsliptallyv1.Configuration, change *cowsliptallyv1.Change) string {
	switch edit := change.GetEdit().(type) {
	case *cowsliptallyv1.Change_PutService:
		return describePut("service", edit.PutService, from.GetServices(), (*cowsliptallyv1.Service).GetName)
	case *cowsliptallyv1.Change_PutRoute:
		return describePut("route", edit.PutRoute, from.GetRoutes(), (*cowsliptallyv1.Route).GetName)
	case *cowsliptallyv1.Change_PutLimit:
		return describePut("limit", edit.PutLimit, from.GetLimits(), (*cowsliptallyv1.Limit).GetOrganisation)
	case *cowsliptallyv1.Change_PutOverride:
		return describePut("override", edit.PutOverride, from.GetOverrides(), (*cowsliptallyv1.Override).GetBackend)
	case *cowsliptallyv1.Change_DeleteService:
		return "- service " + edit.DeleteService
	case *cowsliptallyv1.Change_DeleteRoute:
		return "- route " + edit.DeleteRoute
	case *cowsliptallyv1.Change_DeleteLimit:
		return "- limit " + edit.DeleteLimit
	case *cowsliptallyv1.Change_DeleteOverride:
		return "- override " + edit.DeleteOverride
	default:
		return "? unknown change"
	}
}

func describePut[M proto.Message](noun string, entry M, existing []M, name func(M) string) string {
	before, found := byName(existing, name)[name(entry)]
	if !found {
		return fmt.Sprintf("+ %s %s %s", noun, name(entry), strings.Join(fields("", nil, entry.ProtoReflect()), " "))
	}
	return fmt.Sprintf("~ %s %s %s", noun, name(entry), strings.Join(fields("", before.ProtoReflect(), entry.ProtoReflect()), " "))
}

// fields lists the fields of a message that differ from those of before, or all
// fields that are set if before is nil.
func fields(prefix string, before, after protoreflect.Message) []string {
	var lines []string
	all := after.Descriptor().Fields()
	for i := range all.Len() {
		field := all.Get(i)
		name := prefix + string(field.Name())
		if field.Kind() == protoreflect.MessageKind && !field.IsList() {
			lines = append(lines, fields(name+".", inner(before, field), after.Get(field).Message())...)
			continue
		}
		value := after.Get(field)
		switch {
		case before == nil && after.Has(field):
			lines = append(lines, name+"="+text(field, value))
		case before != nil && !before.Get(field).Equal(value):
			lines = append(lines, name+"="+text(field, before.Get(field))+"->"+text(field, value))
		}
	}
	return lines
}

// text formats a value; the entries of a list are joined by commas.
func text(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if !field.IsList() {
		return value.String()
	}
	var entries []string
	for i := range value.List().Len() {
		entry := value.List().Get(i)
		if field.Kind() != protoreflect.MessageKind {
			entries = append(entries, entry.String())
			continue
		}
		entries = append(entries, "{"+strings.Join(fields("", nil, entry.Message()), " ")+"}")
	}
	return "[" + strings.Join(entries, ",") + "]"
}

func inner(before protoreflect.Message, field protoreflect.FieldDescriptor) protoreflect.Message {
	if before == nil {
		return nil
	}
	return before.Get(field).Message()
}
