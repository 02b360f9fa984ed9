package ejector

import (
	"maps"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/detector"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// leastWitnesses is the number of nodes that must agree.
	leastWitnesses = 2
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

// guilty reports whether the testimony is enough for an ejection: the owner and
// another node, or several nodes of more than one availability zone.
func (d dossier) guilty(owner fleet.NodeID, threshold detector.Threshold) bool {
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
	if t, found := d[owner]; found && t.nats >= threshold.Degrade {
		return true
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
