// Package editor applies an operator's changes to a configuration, all or none,
// and says in plain words what is wrong with a change that it refuses.
//
//	changed, summary, err := editor.New(facts).Edit(configuration, changes)
package editor
