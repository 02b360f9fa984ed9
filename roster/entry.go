package roster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

// noEntry marks the end of a chain of entries.
const noEntry = ^uint32(0)

// entry is a backend server in compact form. Chains link entries by index.
type entry struct {
	id       string
	sequence uint64
	service  uint32
	owner    uint32
	zone     uint32
	// tombstoneSince is when the entry became a tombstone, as returned by uptimeSeconds; 0
	// marks an entry that is no tombstone.
	tombstoneSince uint32
	// leftSince is when it became known that the backend server left, if left is set.
	leftSince uint32
	// sameHash, sameService and sameOwner are the next entries of the chains.
	sameHash    uint32
	sameService uint32
	sameOwner   uint32
	address     address
	slots       uint16
	// bucket is the fine bucket.
	bucket uint16
	state  fleet.BackendState
	left   bool
	used   bool
	// compared is false once a tombstone is too old to be exchanged with other nodes.
	compared bool
}

// hashID returns the hash of an identifier; kind separates members from backend servers.
func hashID(kind byte, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write([]byte{kind})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// hashVersion returns the hash of one version of an entry.
func hashVersion(id uint64, version uint64, writer string) uint64 {
	var words [16]byte
	binary.LittleEndian.PutUint64(words[:8], id)
	binary.LittleEndian.PutUint64(words[8:], version)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(words[:])
	_, _ = digest.WriteString(writer)
	return digest.Sum64()
}
