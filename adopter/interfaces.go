package adopter

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Document is a configuration as encoded by its source.
type Document struct {
	Revision fleet.Revision
	Content  []byte
}

// Source holds the configuration outside the fleet.
type Source interface {
	// Next waits for a document newer than the known revision and returns it. It may
	// return the zero document when none came within a limit of its own. A document that
	// comes with an error is valid, but there may be a newer one.
	Next(ctx context.Context, known fleet.Revision) (Document, error)
	// LastAnswer returns when the source last answered, also while Next waits, or the zero time
	// before the first answer. It is safe for concurrent use.
	LastAnswer() time.Time
	// Decode decodes a document, which another node may have received.
	Decode(Document) (fleet.Configuration, error)
}

// Peers fetches the documents of other nodes.
type Peers interface {
	// Fetch returns the document of the node at an address, or the zero document if
	// that is not newer than the known revision.
	Fetch(ctx context.Context, address string, known fleet.Revision) (Document, error)
}

// Recorder records events.
type Recorder interface {
	Record(fleet.Event)
}

// noRecorder drops events.
type noRecorder struct{}

func (noRecorder) Record(fleet.Event) {}

// noPeers returns no document for any node.
type noPeers struct{}

func (noPeers) Fetch(context.Context, string, fleet.Revision) (Document, error) {
	return Document{}, nil
}

// Delegator decides which nodes read the source.
type Delegator interface {
	// Reads reports whether this node reads the source now.
	Reads() bool
}

// alwaysReads has this node read the source at all times.
type alwaysReads struct{}

func (alwaysReads) Reads() bool { return true }
