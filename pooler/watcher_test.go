package pooler_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/pooler"
)

// TestAnswerDuringOnStallIsNotCut guards against breaking off an answer that arrives while OnStall
// considers whether to wait for it.
func TestAnswerDuringOnStallIsNotCut(t *testing.T) {
	is := is.New(t)
	asked, decided := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-asked
		_, _ = io.WriteString(w, "begun ")
		_ = http.NewResponseController(w).Flush()
		<-decided
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "ended")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	is.NoErr(err)
	received := make(chan struct{})
	p := pooler.New(pooler.WithProgress(50 * time.Millisecond))
	defer p.Close()
	exchange, err := p.Send(context.Background(), pooler.Message{Address: address, Request: request, OnStall: func(pooler.Stall) bool {
		close(asked)
		<-received
		close(decided)
		return true
	}})
	is.NoErr(err)
	defer exchange.Close()
	close(received)
	content, err := io.ReadAll(exchange.Response.Body)
	is.NoErr(err)
	is.Equal(string(content), "begun ended")
}

// TestAnswerDuringOnProgressIsNotCut guards against breaking off an answer that arrives while OnProgress
// considers whether another exchange takes its place.
func TestAnswerDuringOnProgressIsNotCut(t *testing.T) {
	for name, tc := range map[string]struct {
		answers bool
		kind    pooler.Kind
	}{"answered meanwhile": {true, ""}, "not answered": {false, pooler.KindSuperseded}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			considered := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				w.WriteHeader(http.StatusProcessing)
				<-considered
				if !tc.answers {
					<-q.Context().Done()
				}
			}))
			defer server.Close()
			request, err := http.NewRequest(http.MethodGet, server.URL, nil)
			is.NoErr(err)
			p := pooler.New(pooler.WithProgress(50 * time.Millisecond))
			defer p.Close()
			var once sync.Once
			exchange, err := p.Send(context.Background(), pooler.Message{
				Address: strings.TrimPrefix(server.URL, "http://"), Request: request,
				OnStall: func(pooler.Stall) bool { return false },
				OnProgress: func() bool {
					once.Do(func() { close(considered) })
					time.Sleep(100 * time.Millisecond)
					return true
				},
			})
			is.Equal(fault.KindOf[pooler.Kind](err), tc.kind)
			exchange.Close()
		})
	}
}
