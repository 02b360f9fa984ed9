// Package announcer is the library with which a backend server registers with the
// node on its VM, renews its lease and leaves.
package announcer
