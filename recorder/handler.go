package recorder

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/translator"
)

// Status provides the node's view of the fleet.
type Status interface {
	Status() *cowsliptallyv1.GetStatusResponse
}

// handler implements the JournalService.
type handler struct {
	journal *Recorder
	status  Status
}

// NewHandler returns the path and the HTTP handler of the JournalService.
func NewHandler(journal *Recorder, status Status, options ...connect.HandlerOption) (string, http.Handler) {
	return cowsliptallyv1connect.NewJournalServiceHandler(&handler{journal, status}, options...)
}

// ListEvents returns the journal entries that match the request, oldest first.
func (h *handler) ListEvents(
	_ context.Context, request *connect.Request[cowsliptallyv1.ListEventsRequest],
) (*connect.Response[cowsliptallyv1.ListEventsResponse], error) {
	message := request.Msg
	response := &cowsliptallyv1.ListEventsResponse{Node: string(h.journal.node)}
	service := fleet.ServiceName(message.GetService())
	for _, event := range h.journal.Events(message.GetSubject(), service, int(message.GetLimit())) {
		response.Events = append(response.Events, translator.EventToMessage(event))
	}
	return connect.NewResponse(response), nil
}

// ListCounters returns every metric of the node, sorted by name.
func (h *handler) ListCounters(
	context.Context, *connect.Request[cowsliptallyv1.ListCountersRequest],
) (*connect.Response[cowsliptallyv1.ListCountersResponse], error) {
	response := &cowsliptallyv1.ListCountersResponse{Counters: counters(h.journal.registry)}
	return connect.NewResponse(response), nil
}

// GetStatus returns the node's view of the fleet.
func (h *handler) GetStatus(
	context.Context, *connect.Request[cowsliptallyv1.GetStatusRequest],
) (*connect.Response[cowsliptallyv1.GetStatusResponse], error) {
	return connect.NewResponse(h.status.Status()), nil
}

// counters reads every metric of a registry, sorted by name.
func counters(registry metrics.Registry) []*cowsliptallyv1.Counter {
	var read []*cowsliptallyv1.Counter
	add := func(name string, value float64) {
		read = append(read, &cowsliptallyv1.Counter{Name: name, Value: value})
	}
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			add(name, float64(m.Count()))
		case metrics.Gauge:
			add(name, float64(m.Value()))
		case metrics.GaugeFloat64:
			add(name, m.Value())
		case metrics.Meter:
			add(name, float64(m.Count()))
		case metrics.Histogram:
			addSample(add, name, m.Count(), m.Percentiles([]float64{0.5, 0.99}))
		case metrics.Timer:
			addSample(add, name, m.Count(), m.Percentiles([]float64{0.5, 0.99}))
		}
	})
	slices.SortFunc(read, func(a, b *cowsliptallyv1.Counter) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return read
}

// addSample adds the count and the two percentiles of a distribution.
func addSample(add func(string, float64), name string, count int64, percentiles []float64) {
	add(name+".count", float64(count))
	add(name+".p50", percentiles[0])
	add(name+".p99", percentiles[1])
}
