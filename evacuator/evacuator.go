// Package evacuator decides whether a node whose VM is about to be removed asks its callers to go elsewhere. It does no I/O.
//
// Load that it answers: backend servers that leave while other nodes of the availability zone stop. Platforms send callers
// to all nodes of a zone, also to those that refuse them, once few are ready: a node that then asks its callers to go sends
// them to nodes that have stopped taking requests.
package evacuator

// Callers are sent to all nodes of a zone once fewer than half are ready. enoughNumerator/enoughDenominator of them are to
// stay ready; the difference, a sixth, is for stops that begin meanwhile.
const (
	enoughNumerator   = 2
	enoughDenominator = 3
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

// HasEnough reports whether enough nodes are ready without the one that asks.
func (z Zone) HasEnough() bool {
	return z.ready > 0 && z.ready*enoughDenominator >= (z.nodes+1)*enoughNumerator
}
