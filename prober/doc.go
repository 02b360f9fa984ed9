// Package prober detects node failures and disseminates membership changes. Following
// SWIM, it probes nodes in random round-robin order, directly and through other nodes;
// periodic comparisons of whole tables repair what the gossip missed.
package prober
