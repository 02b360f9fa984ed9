package recorder

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

type fixedStatus struct {
	response *cowsliptallyv1.GetStatusResponse
}

func (f fixedStatus) Status() *cowsliptallyv1.GetStatusResponse { return f.response }

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestRecordStampsCountsAndLogs(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	logger := log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})
	j := New("n1", WithClock(clockwork.NewFakeClockAt(noon)), WithLogger(logger))
	event := fleet.NewEvent(fleet.EventRefusal, "r1", string(fleet.ReasonBusy),
		fleet.Figure{Name: "queued", Value: 8})
	j.Record(event.WithService("ledger"))
	j.Record(fleet.NewEvent(fleet.EventConfigurationRefused, "op1", "revision 7 is in force"))

	events := j.Events("", "", 0)
	is.Equal(len(events), 2)
	is.Equal(events[0].Time, noon)
	is.Equal(events[0].Node, fleet.NodeID("n1"))
	is.Equal(events[1].Sequence, uint64(2))
	is.Equal(lines.String(), "level=info msg=refusal node=n1 sequence=1 service=ledger subject=r1 reason=busy queued=8\n"+
		"level=info msg=conflict node=n1 sequence=2 subject=op1 reason=\"revision 7 is in force\"\n")
	names := map[string]float64{}
	for _, counter := range counters(j.Registry()) {
		names[counter.GetName()] = counter.GetValue()
	}
	is.Equal(names, map[string]float64{"refusal.busy": 1, "conflict": 1})
}

func TestEventsAreBoundedAndInOrder(t *testing.T) {
	is := is.New(t)
	j := New("n1", WithCapacity(3))
	for _, subject := range []string{"a", "b", "c", "d", "e"} {
		j.Record(fleet.NewEvent(fleet.EventRetry, subject, "busy"))
	}
	var subjects string
	for _, event := range j.Events("", "", 0) {
		subjects += event.Subject
	}
	is.Equal(subjects, "cde")
	is.Equal(len(j.Events("a", "", 0)), 0)
	is.Equal(j.Events("", "", 1)[0].Subject, "e")
}

func TestRefusalsDoNotPushOutDecisions(t *testing.T) {
	is := is.New(t)
	j := New("n1", WithCapacity(2))
	j.Record(fleet.NewEvent(fleet.EventRefusal, "r0", "busy"))
	j.Record(fleet.NewEvent(fleet.EventEjection, "b1", "slow"))
	for range 5 {
		j.Record(fleet.NewEvent(fleet.EventRefusal, "r", "busy"))
	}
	events := j.Events("", "", 0)
	is.Equal(len(events), 3)
	is.Equal(events[0].Kind, fleet.EventEjection)
	is.Equal(events[2].Sequence, uint64(7))
}

func TestHandlerAnswersOverHTTP(t *testing.T) {
	is := is.New(t)
	j := New("n1")
	j.Record(fleet.NewEvent(fleet.EventEjection, "b1", "slow").WithService("ledger"))
	j.Record(fleet.NewEvent(fleet.EventEjection, "b2", "slow").WithService("intake"))
	status := fixedStatus{&cowsliptallyv1.GetStatusResponse{Node: "n1", Revision: 7}}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(j, status))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := cowsliptallyv1connect.NewJournalServiceClient(http.DefaultClient, server.URL)

	events, err := client.ListEvents(context.Background(),
		connect.NewRequest(&cowsliptallyv1.ListEventsRequest{Service: "ledger"}))
	is.NoErr(err)
	is.Equal(len(events.Msg.GetEvents()), 1)
	is.Equal(events.Msg.GetEvents()[0].GetSubject(), "b1")
	is.Equal(events.Msg.GetNode(), "n1")
	listed, err := client.ListCounters(context.Background(),
		connect.NewRequest(&cowsliptallyv1.ListCountersRequest{}))
	is.NoErr(err)
	is.Equal(listed.Msg.GetCounters()[0].GetValue(), 2.0)
	got, err := client.GetStatus(context.Background(),
		connect.NewRequest(&cowsliptallyv1.GetStatusRequest{}))
	is.NoErr(err)
	is.Equal(got.Msg.GetRevision(), uint64(7))
}
