package adopter

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
)

// Document is a configuration as its source wrote it.
type Document struct {
	Revision fleet.Revision
	Content  []byte
}

// Source holds the configuration outside the fleet.
type Source interface {
	// Next returns a document newer than the known revision. It waits until there is
	// one, and may return the zero document when it waited long enough.
	Next(ctx context.Context, known fleet.Revision) (Document, error)
	// Decode reads a document, whichever node got it.
	Decode(Document) (fleet.Configuration, error)
}

// Peers asks other nodes for their document.
type Peers interface {
	// Fetch returns the document of the node at an address, or the zero document if
	// that is not newer than the known revision.
	Fetch(ctx context.Context, address string, known fleet.Revision) (Document, error)
}

// Recorder takes events.
type Recorder interface {
	Record(fleet.Event)
}

// noRecorder drops events.
type noRecorder struct{}

func (noRecorder) Record(fleet.Event) {}

// noPeers knows no other node.
type noPeers struct{}

func (noPeers) Fetch(context.Context, string, fleet.Revision) (Document, error) {
	return Document{}, nil
}
