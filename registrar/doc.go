// Package registrar registers the backend servers of one VM and tracks their leases.
// Only the registrar of the VM changes their entries in the fleet.
package registrar
