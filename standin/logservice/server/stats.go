package server

// Stats counts the operations of a Server.
type Stats struct {
	Appends uint64 `json:"appends"`
	Reads   uint64 `json:"reads"`
	// Bytes counts the payload bytes that were appended.
	Bytes uint64 `json:"bytes"`
}
