// Package announcer is the library by which a backend server announces itself to
// the node on its VM and leaves again.
package announcer
