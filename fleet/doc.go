// Package fleet defines the types that all packages share: identifiers, services,
// backend servers, members, outcomes, samples and events. Values are immutable:
// With methods return changed copies.
package fleet
