// Package registrar keeps the backend servers of one VM with their leases. It is
// the only writer of their entries in the fleet.
package registrar
