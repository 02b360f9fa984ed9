package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// exchange sends one request and records the response. A node that accepts no
// connection is skipped, as the request was not sent.
func (c *Caller) exchange(kind Kind, record *Record) {
	if kind.Timeout == 0 {
		kind.Timeout = defaultTimeout
	}
	record.Limit = kind.Timeout + c.slack
	ctx, limit := newLimit(record.Sent, record.Limit)
	defer limit.stop()
	body := bytes.Repeat([]byte("b"), max(kind.Size, 1))
	record.Result = ResultUnsent
	defer func() {
		limit.check(record)
		record.noteTimes(limit)
	}()
	for _, node := range c.candidates() {
		record.Node = node
		response, err := c.client.Do(c.request(traceConnection(ctx, record, limit), node, kind, record, body))
		if isDialError(err) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			record.Result = failedResult(ctx)
			record.Reason = err.Error()
			return
		}
		c.readResponse(ctx, response, body, record)
		return
	}
}

// request builds one HTTP request. Its body cannot be rewound, so the HTTP client
// never retries it.
func (c *Caller) request(ctx context.Context, node string, kind Kind, record *Record, body []byte) *http.Request {
	url := "http://" + node + kind.Path
	request, err := http.NewRequestWithContext(ctx, kind.Method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(body))
	header := request.Header
	header.Set(fleet.HeaderRequestID, string(record.Request))
	header.Set(fleet.HeaderTimeout, strconv.FormatInt(kind.Timeout.Milliseconds(), 10))
	header.Set(fleet.HeaderIdempotent, strconv.FormatBool(kind.Idempotent))
	if record.Key != "" {
		header.Set(fleet.HeaderIdempotencyKey, record.Key)
	}
	if kind.Service != "" {
		header.Set(fleet.HeaderService, string(kind.Service))
	}
	if kind.Work > 0 {
		header.Set(server.HeaderWork, strconv.FormatInt(kind.Work.Microseconds(), 10))
	}
	if kind.AnswerSize > 0 {
		header.Set(server.HeaderSize, strconv.Itoa(kind.AnswerSize))
	}
	return request
}

// readResponse records a response.
func (c *Caller) readResponse(ctx context.Context, response *http.Response, sent []byte, record *Record) {
	defer response.Body.Close()
	record.Status = response.StatusCode
	record.Reason = response.Header.Get(fleet.HeaderReason)
	record.Backend = response.Header.Get(fleet.HeaderBackend)
	data, err := io.ReadAll(response.Body)
	if err != nil {
		record.Result = failedResult(ctx)
		record.Reason = err.Error()
		return
	}
	executed := fleet.Executed(response.Header.Get(fleet.HeaderExecuted))
	if c.direct && executed == "" {
		executed = fleet.ExecutedYes
	}
	switch executed {
	case fleet.ExecutedNo:
		record.Result = ResultRefused
		if record.Reason == string(fleet.ReasonDraining) {
			c.backOff(record.Node)
		}
	case fleet.ExecutedUnknown:
		record.Result = ResultUnknown
	case fleet.ExecutedYes:
		record.Result = ResultAnswered
		checkOwn(response, data, sent, record)
	default:
		record.Result = ResultBroken
		record.Reason = "the response reports no outcome"
	}
}

// checkOwn records whether an answer matches the request.
func checkOwn(response *http.Response, data, sent []byte, record *Record) {
	if response.StatusCode >= http.StatusBadRequest {
		record.Own = response.Header.Get(fleet.HeaderRequestID) == string(record.Request)
		return
	}
	var answer server.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return
	}
	record.Own = answer.Request == string(record.Request) &&
		answer.Sum == server.Sum(string(record.Request), sent)
	record.Backend = answer.Backend
	record.Served = time.Duration(answer.TookMicros) * time.Microsecond
}

func failedResult(ctx context.Context) Result {
	if ctx.Err() != nil {
		return ResultSilent
	}
	return ResultBroken
}

// isDialError reports whether no connection could be established.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
