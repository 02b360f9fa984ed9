package logclient_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/standin/logservice/server"
)

func start(t *testing.T) (*logclient.Client, *server.Server) {
	t.Helper()
	logs := server.New()
	listener := httptest.NewServer(logs)
	t.Cleanup(listener.Close)
	address := strings.TrimPrefix(listener.URL, "http://")
	return logclient.New(address, logclient.WithTimeout(200*time.Millisecond)), logs
}

func TestReadReturnsRecordsInOrder(t *testing.T) {
	is := is.New(t)
	client, _ := start(t)
	for i, payload := range []string{"a", "b", "c"} {
		offset, err := client.Append(context.Background(), "fleet", []byte(payload))
		is.NoErr(err)
		is.Equal(offset, uint64(i))
	}
	batch, err := client.Read(context.Background(), "fleet", 1, time.Second)
	is.NoErr(err)
	is.Equal(len(batch.Entries), 2)
	is.Equal(string(batch.Entries[1].Payload), "c")
	is.Equal(batch.Next, uint64(3))
}

func TestErrorKindShowsWhetherAppendTookEffect(t *testing.T) {
	is := is.New(t)
	client, logs := start(t)
	for _, c := range []struct {
		faults  server.Faults
		kind    logclient.Kind
		appends uint64
	}{
		{server.Faults{Down: true}, logclient.KindDown, 0},
		{server.Faults{Hang: true}, logclient.KindTimeout, 0},
		{server.Faults{Lose: 1}, logclient.KindTimeout, 1},
	} {
		logs.SetFaults(c.faults)
		_, err := client.Append(context.Background(), "fleet", []byte("x"))
		is.Equal(logclient.KindOf(err), c.kind)
		is.Equal(logs.Stats().Appends, c.appends)
	}
	_, err := logclient.New("127.0.0.1:1").Append(context.Background(), "fleet", nil)
	is.Equal(logclient.KindOf(err), logclient.KindDown)
}

func TestExpiredReadReturnsKeptRange(t *testing.T) {
	is := is.New(t)
	client, logs := start(t)
	logs.SetFaults(server.Faults{Retain: 2})
	for range 5 {
		_, err := client.Append(context.Background(), "fleet", []byte("x"))
		is.NoErr(err)
	}
	batch, err := client.Read(context.Background(), "fleet", 0, 0)
	is.Equal(logclient.KindOf(err), logclient.KindExpired)
	is.Equal(batch.Oldest, uint64(3))
	is.Equal(batch.Next, uint64(5))
}
