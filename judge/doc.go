// Package judge gives a node's verdict on each backend server: the operator's
// override first, then the ejection that the fleet agreed on, as long as the
// floor holds, then what the node itself found. It does no I/O.
package judge
