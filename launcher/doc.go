// Package launcher starts programs as processes of their own for tests and the
// demo, kills or freezes them on command and ends all of them afterwards.
package launcher
