package indexer

// Keyed is a value that names itself; it is stored without a second copy of its key.
type Keyed[K ~string] interface {
	Key() K
}
