package ejector

import (
	"maps"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/judge"
)

const (
	// leastWitnesses is the number of nodes that must agree.
	leastWitnesses = 2
	// leastHolds is how often a backend server must have been degraded since it was
	// last trusted. Requests that one stall delays are one piece of evidence, however
	// many they are; a server that is well again passes its probation instead.
	leastHolds = 2
	// leastZones is the number of availability zones that must agree where the
	// owner does not, so that the link of one availability zone ejects nobody.
	leastZones = 2
)

// dossier is all testimony against one backend server, by node.
type dossier map[fleet.NodeID]testimony

// drop forgets old testimony.
func (d dossier) drop(now time.Time) {
	maps.DeleteFunc(d, func(_ fleet.NodeID, t testimony) bool { return !t.fresh(now) })
}

// guilty reports whether the testimony is enough for an ejection: the owner,
// backed by another node, or several nodes of more than one availability zone.
func (d dossier) guilty(owner fleet.NodeID, threshold detector.Threshold) bool {
	return d.ownerBacked(owner, threshold) || d.manyAgree(threshold)
}

// ownerBacked reports whether the owner's evidence is enough and another node saw
// something of it. The others stop sending on the owner's advice, so they cannot
// come to a verdict of their own.
func (d dossier) ownerBacked(owner fleet.NodeID, threshold detector.Threshold) bool {
	if d[owner].nats < threshold.Eject {
		return false
	}
	for node, t := range d {
		if node != owner && t.nats >= judge.CorroborationNats {
			return true
		}
	}
	return false
}

// manyAgree reports whether nodes of several availability zones came to a verdict.
func (d dossier) manyAgree(threshold detector.Threshold) bool {
	zones := map[fleet.Zone]bool{}
	witnesses, most := 0, 0.0
	for _, t := range d {
		if t.nats < threshold.Degrade {
			continue
		}
		witnesses++
		zones[t.zone] = true
		most = max(most, t.nats)
	}
	if witnesses < leastWitnesses || most < threshold.Eject {
		return false
	}
	return len(zones) >= leastZones
}

// strongest returns the testimony with the most evidence.
func (d dossier) strongest() testimony {
	var best testimony
	for _, node := range d.witnesses() {
		if t := d[fleet.NodeID(node)]; t.nats > best.nats {
			best = t
		}
	}
	return best
}

// witnesses returns the nodes, sorted.
func (d dossier) witnesses() []string {
	names := make([]string, 0, len(d))
	for node := range d {
		names = append(names, string(node))
	}
	slices.Sort(names)
	return names
}
