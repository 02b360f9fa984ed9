// Package launcher starts programs as child processes for tests and the demo,
// kills or freezes them on request and ends all of them afterwards.
package launcher
