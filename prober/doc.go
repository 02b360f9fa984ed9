// Package prober finds out which nodes live and spreads what changes. It probes
// nodes in random round-robin order, directly and through others, in the manner of
// SWIM, and compares tables at a slow pace.
package prober
