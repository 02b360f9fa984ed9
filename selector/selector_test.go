package selector_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/selector"
)

// TestFirstAgreesWithRank compares both orders, with dead nodes among the members.
func TestFirstAgreesWithRank(t *testing.T) {
	is := is.New(t)
	var members []fleet.Member
	for i := range 30 {
		member := fleet.Member{ID: fleet.NodeID(fmt.Sprint("n", i)), State: fleet.MemberAlive}
		if i%5 == 0 {
			member.State = fleet.MemberDead
		}
		members = append(members, member)
	}
	s := selector.New(members)
	for _, count := range []int{0, 1, 12, 24, 40} {
		first := s.First(count, "task")
		is.Equal(len(first), min(count, 24))
		for rank, node := range first {
			is.Equal(s.Rank(node, "task"), rank)
		}
	}
}
