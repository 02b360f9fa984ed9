// Package evacuator decides whether a node whose VM is about to be removed asks its callers to go elsewhere. It does no I/O.
//
// Load that it answers: backend servers that leave while other nodes of the availability zone stop. Platforms send callers
// to all nodes of a zone, also to those that refuse them, once few are ready: a node that then asks its callers to go sends
// them to nodes that have stopped taking requests.
package evacuator

// With fewer than half of a zone's nodes ready, callers are sent to all of them. A zone can spare a node while
// spareNumerator/spareDenominator are ready without it, which leaves a sixth for stops that begin meanwhile.
const (
	spareNumerator   = 2
	spareDenominator = 3
)

// Zone is what a node knows of the other nodes of its availability zone. The zero value knows of none.
type Zone struct{ nodes, ready int }

// WithNode returns a copy with one more node, and whether it is ready.
func (z Zone) WithNode(ready bool) Zone {
	z.nodes++
	if ready {
		z.ready++
	}
	return z
}

// CanSpare reports whether enough nodes are ready without the one that asks.
func (z Zone) CanSpare() bool {
	return z.ready > 0 && z.ready*spareDenominator >= (z.nodes+1)*spareNumerator
}
