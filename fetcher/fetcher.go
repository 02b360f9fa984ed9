package fetcher

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

const (
	defaultTimeout = 3 * time.Second
	// defaultFanout is the number of nodes that are queried for their state.
	defaultFanout = 3
	// maxCalls is the number of concurrent calls when all nodes are queried.
	maxCalls = 64
)

// Fetcher calls other nodes. It is safe for concurrent use.
type Fetcher struct {
	self    fleet.NodeID
	members func() []fleet.Member
	client  *http.Client
	timeout time.Duration
	fanout  int
}

// New returns a fetcher for the node self that queries the nodes of members.
func New(self fleet.NodeID, members func() []fleet.Member, options ...Option) *Fetcher {
	f := &Fetcher{
		self:    self,
		members: members,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		timeout: defaultTimeout,
		fanout:  defaultFanout,
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// FetchStates queries a few random live nodes for state beyond the known offset. It
// returns the number of nodes queried and the responses received.
func (f *Fetcher) FetchStates(ctx context.Context, known uint64) (queried int, responses []*cowsliptallyv1.FetchStateResponse) {
	peers := f.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), f.fanout)]
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, peer := range peers {
		calls.Go(func() {
			response, err := f.fetch(ctx, peer, known)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, response)
		})
	}
	calls.Wait()
	return len(peers), responses
}

// Revisions queries every live node for the revision that it has in force.
func (f *Fetcher) Revisions(ctx context.Context) []*cowsliptallyv1.NodeRevision {
	peers := f.peers()
	revisions := make([]*cowsliptallyv1.NodeRevision, len(peers))
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for i, peer := range peers {
		calls.Go(func() error {
			revisions[i] = f.revision(ctx, peer)
			return nil
		})
	}
	// The calls return no error; a failure is in the node's entry.
	_ = calls.Wait()
	return revisions
}

func (f *Fetcher) revision(ctx context.Context, peer fleet.Member) *cowsliptallyv1.NodeRevision {
	response, err := f.fetch(ctx, peer, math.MaxUint64)
	if err != nil {
		return &cowsliptallyv1.NodeRevision{Node: string(peer.ID), Error: err.Error()}
	}
	return &cowsliptallyv1.NodeRevision{Node: string(peer.ID), Revision: response.GetRevision()}
}

func (f *Fetcher) fetch(ctx context.Context, peer fleet.Member, known uint64) (*cowsliptallyv1.FetchStateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	client := cowsliptallyv1connect.NewPeerServiceClient(f.client, "http://"+peer.PeerAddress)
	response, err := client.FetchState(ctx, connect.NewRequest(&cowsliptallyv1.FetchStateRequest{KnownOffset: known}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// peers returns the other nodes that are neither dead nor have left.
func (f *Fetcher) peers() []fleet.Member {
	var peers []fleet.Member
	for _, member := range f.members() {
		if member.ID == f.self || member.State == fleet.MemberDead || member.State == fleet.MemberLeft {
			continue
		}
		peers = append(peers, member)
	}
	return peers
}
