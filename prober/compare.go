package prober

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/roster"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	// compareBytes bounds the size of the entries in one response to Compare.
	compareBytes = 32 << 10
	// sendBackBytes bounds the size of the entries that one round sends to the other node.
	sendBackBytes = 16 << 10
	// steadyCalls and joinCalls bound the calls of one round.
	steadyCalls = 8
	joinCalls   = 1000
	// joinRounds bounds the comparison rounds of a joining node.
	joinRounds = 3
	// joinTime is the time in which comparisons that get no answer take no round, maxJoinTries bounds them.
	joinTime       = 2 * time.Second
	maxJoinTries   = 20
	compareTimeout = 5 * time.Second
)

// Compare returns the buckets that differ, with the entries of the first ones.
func (p *Prober) Compare(
	_ context.Context, request *connect.Request[cowsliptallyv1.CompareRequest],
) (*connect.Response[cowsliptallyv1.CompareResponse], error) {
	theirs, parent := request.Msg.GetBuckets(), int(request.Msg.GetParent())
	if len(theirs) != roster.BucketCount || parent > roster.BucketCount {
		err := fault.New("compare", KindInvalid, "%d buckets of parent %d, expected %d buckets of at most %d",
			len(theirs), parent, roster.BucketCount, roster.BucketCount)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	response := &cowsliptallyv1.CompareResponse{Gossip: &cowsliptallyv1.Gossip{}, Joining: !p.joined.Load()}
	for i, hash := range p.hashes(parent) {
		if hash != theirs[i] {
			response.Differing = append(response.Differing, uint32(i))
		}
	}
	if len(response.Differing) > 0 {
		p.include(response, parent)
	}
	if parent == 0 {
		p.includeRecords(response, request.Msg.GetRecords())
	}
	return connect.NewResponse(response), nil
}

func (p *Prober) hashes(parent int) []uint64 {
	if parent == 0 {
		return p.roster.Buckets()
	}
	return p.roster.FineBuckets(parent - 1)
}

// include adds the entries of differing buckets up to compareBytes.
func (p *Prober) include(response *cowsliptallyv1.CompareResponse, parent int) {
	tables := p.roster.Entries(parent - 1)
	total := 0
	for _, i := range response.Differing {
		gossip := tableMessage(tables[i])
		total += proto.Size(gossip)
		if total > compareBytes {
			return
		}
		response.Gossip.Members = append(response.Gossip.Members, gossip.Members...)
		response.Gossip.Backends = append(response.Gossip.Backends, gossip.Backends...)
		response.Included++
	}
}

func tableMessage(table roster.EntrySet) *cowsliptallyv1.Gossip {
	gossip := &cowsliptallyv1.Gossip{}
	for _, m := range table.Members {
		gossip.Members = append(gossip.Members, translator.MemberToMessage(m))
	}
	for _, b := range table.Backends {
		gossip.Backends = append(gossip.Backends, translator.BackendToMessage(b))
	}
	return gossip
}

// runComparisons compares tables with a random node at each compareInterval.
func (p *Prober) runComparisons(ctx context.Context) error {
	for p.sleep(ctx, p.compareInterval) {
		if chosen := p.choosePeers(1, anyPeer); len(chosen) == 1 {
			p.compare(ctx, chosen[0], steadyCalls)
		}
	}
	return ctx.Err()
}

// catchUp compares tables when the node joins, until they are equal to those of two nodes or after joinRounds. One
// node may have missed a crash. Nodes that do not answer take no round for a while, as many may have ended at once, and
// nor do those that join themselves, as many may have started.
func (p *Prober) catchUp(ctx context.Context) {
	started := p.clock.Now()
	equal, joining := make(map[string]bool), make(map[string]bool)
	for rounds, tries := 0, 0; rounds < joinRounds && tries < maxJoinTries; tries++ {
		chosen := p.choosePeers(1, func(m fleet.Member) bool { return !equal[m.PeerAddress] && !joining[m.PeerAddress] })
		if len(chosen) == 0 {
			return
		}
		result := p.compare(ctx, chosen[0], joinCalls)
		proves := result.answered && !result.joining
		if proves || p.clock.Since(started) > joinTime {
			rounds++
		}
		switch address := chosen[0].PeerAddress; {
		case result.joining:
			joining[address] = true
		case result.equal:
			equal[address] = true
		}
		if len(equal) == 2 {
			return
		}
	}
}

// comparison is the result of a comparison with another node.
type comparison struct {
	// answered is set if the node answered each call, and equal if the tables were equal already.
	answered, equal bool
	// joining is set if the node has not joined itself: it may lack what the others hold.
	joining bool
}

// compare reconciles the tables of this node and another in at most the given number of
// calls.
func (p *Prober) compare(ctx context.Context, target fleet.Member, calls int) comparison {
	p.counters.comparisons.Inc(1)
	result := comparison{answered: true, equal: true}
	missing := &cowsliptallyv1.Gossip{}
	parents := []int{0}
	for len(parents) > 0 && calls > 0 {
		parent := parents[0]
		parents = parents[1:]
		calls--
		response := p.compareOnce(ctx, target, parent, missing)
		if response == nil {
			return comparison{}
		}
		result.joining = result.joining || response.GetJoining()
		if len(response.GetDiffering())+len(response.GetDifferingRecords()) > 0 {
			result.equal = false
		}
		included := min(int(response.GetIncluded()), len(response.GetDiffering()))
		if rest := response.GetDiffering()[included:]; parent == 0 {
			for _, i := range rest {
				parents = append(parents, int(i)+1)
			}
		} else if len(rest) > 0 {
			parents = append(parents, parent)
		}
	}
	p.sendMissing(ctx, target, missing)
	return result
}

// compareOnce compares one level, merges the response and adds to missing the entries
// that the other node lacks.
func (p *Prober) compareOnce(
	ctx context.Context, target fleet.Member, parent int, missing *cowsliptallyv1.Gossip,
) *cowsliptallyv1.CompareResponse {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	request := &cowsliptallyv1.CompareRequest{Buckets: p.hashes(parent), Parent: uint32(parent)}
	if parent == 0 {
		request.Records = p.quarantine.Hashes()
	}
	response, err := p.transport.Compare(ctx, target.PeerAddress, request)
	if err != nil {
		return nil
	}
	p.merge(response.GetGossip(), false)
	missing.Records = append(missing.Records, p.recordsIn(response.GetDifferingRecords())...)
	if len(response.GetDiffering()) == 0 {
		return response
	}
	included := min(int(response.GetIncluded()), len(response.GetDiffering()))
	tables := p.roster.Entries(parent - 1)
	theirs := versionsOf(response.GetGossip())
	for _, i := range response.GetDiffering()[:included] {
		if int(i) < len(tables) {
			p.addNewer(missing, tables[i], theirs)
		}
	}
	return response
}

// versions holds the entries of another node by identifier.
type versions struct {
	members  map[fleet.NodeID]fleet.Member
	backends map[fleet.BackendID]fleet.Backend
}

func versionsOf(gossip *cowsliptallyv1.Gossip) versions {
	v := versions{
		members:  make(map[fleet.NodeID]fleet.Member),
		backends: make(map[fleet.BackendID]fleet.Backend),
	}
	for _, message := range gossip.GetMembers() {
		m := translator.MemberFromMessage(message)
		v.members[m.ID] = m
	}
	for _, message := range gossip.GetBackends() {
		b := translator.BackendFromMessage(message)
		v.backends[b.ID] = b
	}
	return v
}

// addNewer adds the entries of a table that the other node lacks or has in an older version.
func (p *Prober) addNewer(missing *cowsliptallyv1.Gossip, table roster.EntrySet, theirs versions) {
	for _, m := range table.Members {
		other, found := theirs.members[m.ID]
		if !found || roster.NewerMember(m, other) {
			missing.Members = append(missing.Members, translator.MemberToMessage(m))
		}
	}
	for _, b := range table.Backends {
		other, found := theirs.backends[b.ID]
		if !found || roster.NewerBackend(b, other) {
			missing.Backends = append(missing.Backends, translator.BackendToMessage(b))
		}
	}
}

// sendMissing sends the other node the entries it lacks, up to sendBackBytes; the rest
// follows in later rounds.
func (p *Prober) sendMissing(ctx context.Context, target fleet.Member, missing *cowsliptallyv1.Gossip) {
	bounded := bound(missing, sendBackBytes)
	if len(bounded.GetMembers())+len(bounded.GetBackends())+len(bounded.GetRecords()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	response, err := p.transport.Probe(ctx, target.PeerAddress, &cowsliptallyv1.ProbeRequest{
		From:   translator.MemberToMessage(p.Self()),
		Gossip: bounded,
	})
	if err == nil {
		p.handleExchange(response.GetFrom(), response.GetGossip())
	}
}

// bound returns the first entries of gossip that fit into the given number of bytes. Records have a bound of
// their own.
func bound(gossip *cowsliptallyv1.Gossip, bytes int) *cowsliptallyv1.Gossip {
	bounded := &cowsliptallyv1.Gossip{Records: gossip.GetRecords()}
	for _, m := range gossip.GetMembers() {
		if bytes -= proto.Size(m) + fieldBytes; bytes < 0 {
			return bounded
		}
		bounded.Members = append(bounded.Members, m)
	}
	for _, b := range gossip.GetBackends() {
		if bytes -= proto.Size(b) + fieldBytes; bytes < 0 {
			return bounded
		}
		bounded.Backends = append(bounded.Backends, b)
	}
	return bounded
}
