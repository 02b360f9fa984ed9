package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// lateReader is a connection whose process does not get to read before a time.
type lateReader struct {
	*net.TCPConn
	from time.Time
}

// Read reads once its time has come.
func (r lateReader) Read(b []byte) (int, error) {
	time.Sleep(time.Until(r.from))
	return r.TCPConn.Read(b)
}

// sendLate sends a request, with a limit of 200 ms, to a node that answers after a time, and reads nothing before another.
func sendLate(t *testing.T, answers, reads time.Duration, closes bool) Record {
	t.Helper()
	body := strings.Repeat("b", kind.Size)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answers)
		id := r.Header.Get(fleet.HeaderRequestID)
		if closes {
			w.Header().Set("Connection", "close")
		}
		answer(w, r, fleet.ExecutedYes, http.StatusOK, `{"request":"`+id+`","sum":"`+server.Sum(id, []byte(body))+`"}`)
	}))
	defer node.Close()
	c := New([]string{strings.TrimPrefix(node.URL, "http://")}, []Kind{kind}, WithSlack(150*time.Millisecond))
	began := time.Now()
	c.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err == nil {
			used := opened.(*conn)
			used.Conn = lateReader{TCPConn: used.Conn.(*net.TCPConn), from: began.Add(reads)}
		}
		return opened, err
	}
	return c.Send(kind)
}

// TestAnswersAreJudgedByTheirArrival guards against a caller without processor time that tells an answer as lost which its
// node sent in time, and against a longer limit for the node.
func TestAnswersAreJudgedByTheirArrival(t *testing.T) {
	for _, tc := range []struct {
		name           string
		answers, reads time.Duration
		closes         bool
		result         Result
	}{
		{"in time, read in time", 0, 0, false, ResultAnswered},
		{"in time, read late", 0, 500 * time.Millisecond, false, ResultAnswered},
		{"in time, read late, connection closed", 0, 500 * time.Millisecond, true, ResultAnswered},
		{"late", 300 * time.Millisecond, 0, false, ResultSilent},
		{"late, read later", 300 * time.Millisecond, 500 * time.Millisecond, false, ResultSilent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			record := sendLate(t, tc.answers, tc.reads, tc.closes)
			is.Equal(record.Result, tc.result)
			is.Equal(record.Own, tc.result == ResultAnswered)
		})
	}
}

// TestOutcomesReadAfterTheLimitNeedAnArrivalInTime guards against a late outcome that passes because its caller was late too.
func TestOutcomesReadAfterTheLimitNeedAnArrivalInTime(t *testing.T) {
	is := is.New(t)
	ended := time.Now().Add(-time.Second)
	for _, tc := range []struct {
		arrived time.Time
		result  Result
	}{
		{ended.Add(-time.Millisecond), ResultRefused},
		{ended.Add(time.Millisecond), ResultSilent},
		{time.Time{}, ResultSilent},
	} {
		l := &limit{ends: ended}
		if !tc.arrived.IsZero() {
			l.arrived.Store(&tc.arrived)
		}
		record := Record{Result: ResultRefused}
		l.check(&record)
		is.Equal(record.Result, tc.result)
	}
}
