// Package configfile reads and writes configurations as YAML of the schema's
// Configuration message, and computes the changes between two configurations.
//
//	wanted, err := configfile.Decode("fleet.yaml", data)
//	changes := configfile.Diff(current, wanted, configfile.Prune)
//	text := configfile.Describe(current, changes)
package configfile
