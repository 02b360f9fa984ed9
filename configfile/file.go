package configfile

import (
	"fmt"

	"buf.build/go/protoyaml"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// indent is the number of spaces per nesting level.
const indent = 2

// Decode decodes a configuration. Unknown fields and duplicate names are errors; path
// is used only in error messages.
func Decode(path string, data []byte) (*cowsliptallyv1.Configuration, error) {
	message := &cowsliptallyv1.Configuration{}
	if err := (protoyaml.UnmarshalOptions{Path: path}).Unmarshal(data, message); err != nil {
		return nil, &Error{Operation: "read file", Kind: KindSyntax, Err: err}
	}
	if err := checkDuplicates(path, message); err != nil {
		return nil, err
	}
	for _, service := range message.GetServices() {
		if service.GetRule() == nil {
			// In a configuration in force each service has a rule, which may be empty;
			// without one here, Diff would report a change.
			service.Rule = &cowsliptallyv1.TrustRule{}
		}
	}
	return message, nil
}

// Encode encodes a configuration; equal configurations give equal files.
func Encode(message *cowsliptallyv1.Configuration) ([]byte, error) {
	data, err := protoyaml.MarshalOptions{Indent: indent, UseProtoNames: true}.Marshal(message)
	if err != nil {
		return nil, &Error{Operation: "write file", Kind: KindSyntax, Err: err}
	}
	return data, nil
}

func checkDuplicates(path string, m *cowsliptallyv1.Configuration) error {
	seen := make(map[string]bool)
	check := func(noun, name string) error {
		key := noun + " " + name
		if seen[key] {
			return &Error{Operation: "read file", Kind: KindDuplicate, Err: fmt.Errorf("%s names %s %q twice", path, noun, name)}
		}
		seen[key] = true
		return nil
	}
	for _, service := range m.GetServices() {
		if err := check("service", service.GetName()); err != nil {
			return err
		}
	}
	for _, route := range m.GetRoutes() {
		if err := check("route", route.GetName()); err != nil {
			return err
		}
	}
	for _, limit := range m.GetLimits() {
		if err := check("organisation", limit.GetOrganisation()); err != nil {
			return err
		}
	}
	for _, override := range m.GetOverrides() {
		if err := check("override of backend server", override.GetBackend()); err != nil {
			return err
		}
	}
	return nil
}
