package ejector

import (
	"maps"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// minReportingNodes is the minimum number of nodes whose evidence must exceed the
	// threshold.
	minReportingNodes = 2
	// minHolds is how often a backend server must have been degraded since it was
	// last healthy. Requests that one stall delays are one piece of evidence, however
	// many they are; a backend server that has recovered passes its probation instead.
	minHolds = 2
	// minZones is the minimum number of availability zones that must agree where the
	// owner does not, so that a faulty link of one availability zone ejects no backend
	// server.
	minZones = 2
)

// evidenceSet holds the evidence reports against one backend server, by reporting node.
type evidenceSet map[fleet.NodeID]evidenceReport

// drop removes expired evidence reports.
func (set evidenceSet) drop(now time.Time) {
	maps.DeleteFunc(set, func(_ fleet.NodeID, r evidenceReport) bool { return !r.fresh(now) })
}

// sufficient reports whether the evidence is enough for an ejection: that of the
// owner, confirmed by another node, or that of several nodes in more than one
// availability zone.
func (set evidenceSet) sufficient(owner fleet.NodeID, threshold detector.Threshold) bool {
	return set.ownerConfirmed(owner, threshold) || set.zonesAgree(threshold)
}

// ownerConfirmed reports whether the owner's evidence is enough and another node
// confirms it. The others all but stop sending on the owner's advice, so they cannot
// collect enough evidence of their own.
func (set evidenceSet) ownerConfirmed(owner fleet.NodeID, threshold detector.Threshold) bool {
	if set[owner].llr < threshold.Eject {
		return false
	}
	for node, r := range set {
		if node != owner && r.llr >= evaluator.CorroborationNats {
			return true
		}
	}
	return false
}

// zonesAgree reports whether nodes in several availability zones have enough evidence
// of their own.
func (set evidenceSet) zonesAgree(threshold detector.Threshold) bool {
	zones := map[fleet.Zone]bool{}
	nodes, highest := 0, 0.0
	for _, r := range set {
		if r.llr < threshold.Degrade {
			continue
		}
		nodes++
		zones[r.zone] = true
		highest = max(highest, r.llr)
	}
	if nodes < minReportingNodes || highest < threshold.Eject {
		return false
	}
	return len(zones) >= minZones
}

// strongest returns the report with the most evidence.
func (set evidenceSet) strongest() evidenceReport {
	var best evidenceReport
	for _, node := range set.reportingNodes() {
		if r := set[fleet.NodeID(node)]; r.llr > best.llr {
			best = r
		}
	}
	return best
}

// reportingNodes returns the names of the reporting nodes, sorted.
func (set evidenceSet) reportingNodes() []string {
	names := make([]string, 0, len(set))
	for node := range set {
		names = append(names, string(node))
	}
	slices.Sort(names)
	return names
}
