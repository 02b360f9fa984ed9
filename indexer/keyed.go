package indexer

// Keyed is a value that contains its key; an index stores no second copy of the key.
type Keyed[K ~string] interface {
	Key() K
}
