package assessor

import (
	"fmt"
	"strings"
)

// Text returns the assessment as text for people to read.
func (a Assessment) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seen by %s: revision %d in force, log service %s, %s alive, %d suspected or dead\n",
		a.Node, a.Revision, a.Log, nodes(a.Alive), a.Away)
	for _, service := range a.Services {
		fmt.Fprintf(&text, "service %s: %d healthy slots, floor %d, %d backend servers\n",
			service.Name, service.HealthySlots, service.FloorSlots, service.Backends)
		for _, impaired := range service.Doubted {
			line := fmt.Sprintf("  %s is %s and %s", impaired.ID, impaired.Health, impaired.State)
			if impaired.Reason != "" {
				line += ": " + impaired.Reason
			}
			text.WriteString(line + "\n")
		}
	}
	for _, quota := range a.Quotas {
		fmt.Fprintf(&text, "quota %s: %d granted in the last second, rate %v, burst %d\n",
			quota.Organisation, quota.Used, quota.Rate, quota.Burst)
	}
	for _, node := range a.Behind {
		line := fmt.Sprintf("behind: %s has revision %d", node.Node, node.Revision)
		if node.Failure != "" {
			line = fmt.Sprintf("behind: %s gave no answer: %s", node.Node, node.Failure)
		}
		text.WriteString(line + "\n")
	}
	for _, risk := range a.Risks {
		text.WriteString("at risk: " + risk + "\n")
	}
	return text.String()
}

// nodes returns a number of nodes in words.
func nodes(count int) string {
	if count == 1 {
		return "1 node"
	}
	return fmt.Sprintf("%d nodes", count)
}
