package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/explainer"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/recorder"
)

// fakeNode returns a fixed status and fixed revisions.
type fakeNode struct {
	cowsliptallyv1connect.UnimplementedOperatorServiceHandler
	status  *cowsliptallyv1.GetStatusResponse
	inForce *cowsliptallyv1.GetInForceResponse
}

func (f *fakeNode) Status() *cowsliptallyv1.GetStatusResponse { return f.status }

// GetInForce returns the fixed response.
func (f *fakeNode) GetInForce(
	context.Context, *connect.Request[cowsliptallyv1.GetInForceRequest],
) (*connect.Response[cowsliptallyv1.GetInForceResponse], error) {
	return connect.NewResponse(f.inForce), nil
}

// startNode serves a journal with one ejection and one refusal, and returns its
// address.
func startNode(t *testing.T, node *fakeNode) (address string) {
	t.Helper()
	events := recorder.New("n1")
	events.Record(fleet.NewEvent(fleet.EventEjection, "b1", "slow").WithService("ledger"))
	events.Record(fleet.NewEvent(fleet.EventRefusal, "r1", "busy").WithService("intake"))
	mux := http.NewServeMux()
	mux.Handle(recorder.NewHandler(events, node))
	mux.Handle(cowsliptallyv1connect.NewOperatorServiceHandler(node))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func healthyNode() *fakeNode {
	return &fakeNode{
		status:  &cowsliptallyv1.GetStatusResponse{Node: "n1", Revision: 3, Log: "up"},
		inForce: &cowsliptallyv1.GetInForceResponse{Everywhere: true},
	}
}

func TestExplainNamesNodesThatDoNotAnswer(t *testing.T) {
	is := is.New(t)
	node := healthyNode()
	address := startNode(t, node)
	node.status.Members = []*cowsliptallyv1.Member{
		{Id: "n1", PeerAddress: address, State: cowsliptallyv1.MemberState_MEMBER_STATE_ALIVE},
		{Id: "n2", PeerAddress: "127.0.0.1:1", State: cowsliptallyv1.MemberState_MEMBER_STATE_DEAD},
		{Id: "n3", PeerAddress: "127.0.0.1:1", State: cowsliptallyv1.MemberState_MEMBER_STATE_LEFT},
	}
	var out bytes.Buffer
	c := &Context{Address: address, Timeout: time.Minute, Out: &out}
	command := &ExplainBackend{ID: "b1"}
	command.JSON = true
	is.NoErr(command.Run(c))
	var timeline explainer.Timeline
	is.NoErr(json.Unmarshal(out.Bytes(), &timeline))
	is.Equal(len(timeline.Lines), 1)
	is.Equal(timeline.Lines[0].Kind, fleet.EventEjection)
	is.Equal(timeline.Nodes, 1)
	is.Equal(len(timeline.Missing), 1)
	is.Equal(timeline.Missing[0].Node, "n2")

	out.Reset()
	is.NoErr((&ExplainService{Name: "intake"}).Run(c))
	is.True(strings.Contains(out.String(), "refused r1: busy"))
	out.Reset()
	is.NoErr((&ExplainRequest{ID: "r1"}).Run(c))
	is.True(strings.Contains(out.String(), "refused it: busy"))
}

func TestStatusFailsOnlyAtRisk(t *testing.T) {
	is := is.New(t)
	node := healthyNode()
	var out bytes.Buffer
	c := &Context{Address: startNode(t, node), Timeout: time.Minute, Out: &out}
	is.NoErr((&Status{}).Run(c))
	node.status.Services = []*cowsliptallyv1.ServiceStatus{{Name: "ledger", HealthySlots: 3, MinHealthySlots: 4}}
	err := (&Status{}).Run(c)
	is.Equal(fault.KindOf[Kind](err), KindRisk)
	is.True(ExitCode(err) != 0)
	node.status.Services = nil
	node.inForce = &cowsliptallyv1.GetInForceResponse{Behind: []*cowsliptallyv1.NodeRevision{{Node: "n4"}}}
	is.Equal(fault.KindOf[Kind]((&Status{JSON: true}).Run(c)), KindRisk)
}

func TestEventsAndCountersOfOneNode(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := &Context{Address: startNode(t, healthyNode()), Timeout: time.Minute, Out: &out}
	is.NoErr((&Events{Service: "ledger"}).Run(c))
	is.True(strings.Contains(out.String(), "ejected b1, by agreement: slow"))
	out.Reset()
	is.NoErr((&Counters{Prefix: "refusal"}).Run(c))
	is.Equal(out.String(), "refusal.busy=1\n")
	out.Reset()
	is.NoErr((&Counters{JSON: true}).Run(c))
	is.True(strings.Contains(out.String(), `"ejection.slow": 1`))
}
