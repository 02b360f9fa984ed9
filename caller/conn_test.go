package caller

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// TestFailedRequestsTellWhenTheyWereWritten guards against a finding that does not tell a request that its node left without
// an answer from one that its caller had not written when the connection closed.
func TestFailedRequestsTellWhenTheyWereWritten(t *testing.T) {
	is := is.New(t)
	record := send(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	is.Equal(record.Result, ResultBroken)
	is.True(!record.Written.Before(record.Connected))
	is.True(!record.Written.After(record.Sent.Add(record.Took)))

	unwritten := Record{Result: ResultBroken}
	unwritten.noteTimes(&limit{})
	is.True(unwritten.Written.IsZero())
}

// TestTimesOfAnEarlierRequestAreNotTold guards against a finding that takes what the connection carried before for its
// request, which was sent by then and did not have the connection yet.
func TestTimesOfAnEarlierRequestAreNotTold(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	go func() { _, _ = theirs.Write([]byte("answer")) }()
	go func() { _, _ = theirs.Read(make([]byte, 10)) }()
	used := &conn{Conn: ours}
	var earlier, later limit
	used.begin(&earlier)
	_, err := used.Write([]byte("request"))
	is.NoErr(err)
	_, err = used.Read(make([]byte, 10))
	is.NoErr(err)
	used.begin(&later)
	record := Record{Result: ResultSilent}
	record.noteTimes(&later)
	is.True(record.Written.IsZero())
	is.True(record.Read.IsZero())
	record.noteTimes(&earlier)
	is.True(!record.Written.IsZero())
	is.True(!record.Read.IsZero())
}

// TestCutAnswersTellWhenTheyWereRead guards against a finding that does not tell a node that answered in part from one that
// wrote nothing.
func TestCutAnswersTellWhenTheyWereRead(t *testing.T) {
	is := is.New(t)
	record := send(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		answer(w, r, fleet.ExecutedYes, http.StatusOK, "part")
		is.NoErr(http.NewResponseController(w).Flush())
		panic(http.ErrAbortHandler)
	})
	is.Equal(record.Result, ResultBroken)
	is.True(!record.Read.Before(record.Connected))
	is.True(!record.Read.After(record.Sent.Add(record.Took)))
	none := send(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	is.True(none.Read.IsZero())
}

// TestRecordsTellWhenTheirCallerWasDue guards against a finding that blames a node for a caller that sent late.
func TestRecordsTellWhenTheirCallerWasDue(t *testing.T) {
	is := is.New(t)
	c := New([]string{"127.0.0.1:1"}, []Kind{kind})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	c.Run(ctx, 100)
	records := c.Records()
	is.True(len(records) > 0)
	for _, record := range records {
		is.True(!record.Due.Before(began))
		is.True(!record.Sent.Before(record.Due))
		is.Equal(record.Limit, kind.Timeout+DefaultSlack)
	}
}
