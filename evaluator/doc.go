// Package evaluator evaluates the health of each backend server at one node: the
// operator's override comes first, then the fleet's accepted ejection, as long as
// the floor holds, then the node's own evidence. It does no I/O.
package evaluator
