// Package updater validates an operator's changes and applies them to a
// configuration, all or none. The error for a refused change is written for the
// operator to read.
//
//	changed, summary, err := updater.New(backends).Update(configuration, changes)
package updater
