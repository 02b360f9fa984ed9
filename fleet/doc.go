// Package fleet holds the words that all packages share: identifiers, services,
// backend servers, members, outcomes, samples and events. Its values are
// immutable: With methods return changed copies.
package fleet
