package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	defaultTimeout = 2 * time.Second
	// defaultBatchSize is the largest number of records of one read.
	defaultBatchSize = 500
	// maxResponseBytes bounds the response to one read.
	maxResponseBytes = 64 << 20
)

// Client calls one log service. It is safe for concurrent use.
type Client struct {
	address   string
	timeout   time.Duration
	batchSize int
	http      *http.Client
}

// New returns a client of the log service at address, an IP and port.
func New(address string, options ...Option) *Client {
	c := &Client{
		address:   address,
		timeout:   defaultTimeout,
		batchSize: defaultBatchSize,
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Append adds a record to the stream and returns its offset. After an error of
// KindTimeout or KindMalformed the record may or may not be in the stream.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	const operation = "append"
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(payload))
	if err != nil {
		return 0, &Error{Operation: operation, Kind: KindRefused, Err: err}
	}
	// Without GetBody the transport cannot retry the request, which could append the
	// record twice.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return 0, &Error{Operation: operation, Kind: sendKind(err), Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, &Error{Operation: operation, Kind: statusKind(response.StatusCode), Err: statusError(response)}
	}
	var result struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return 0, &Error{Operation: operation, Kind: KindMalformed, Err: err}
	}
	if result.Offset == nil {
		return 0, &Error{Operation: operation, Kind: KindMalformed, Err: errors.New("the answer has no offset")}
	}
	return *result.Offset, nil
}

// Read returns the records of the stream from an offset on, at least one unless
// none is appended within wait. An error of KindExpired comes with a batch that has
// only Oldest and Next set.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	const operation = "read"
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	query := url.Values{
		"from": {strconv.FormatUint(from, 10)},
		"wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
		"max":  {strconv.Itoa(c.batchSize)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Batch{}, &Error{Operation: operation, Kind: KindRefused, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Batch{}, &Error{Operation: operation, Kind: sendKind(err), Err: err}
	}
	defer response.Body.Close()
	return readBatch(operation, from, response)
}

func readBatch(operation string, from uint64, response *http.Response) (Batch, error) {
	expired := response.StatusCode == http.StatusGone
	if response.StatusCode != http.StatusOK && !expired {
		return Batch{}, &Error{Operation: operation, Kind: statusKind(response.StatusCode), Err: statusError(response)}
	}
	var batch Batch
	body := io.LimitReader(response.Body, maxResponseBytes)
	if err := json.NewDecoder(body).Decode(&batch); err != nil {
		return Batch{}, &Error{Operation: operation, Kind: KindMalformed, Err: err}
	}
	if expired {
		err := fmt.Errorf("offset %d is below the oldest kept offset %d", from, batch.Oldest)
		return Batch{Oldest: batch.Oldest, Next: batch.Next}, &Error{Operation: operation, Kind: KindExpired, Err: err}
	}
	return batch, nil
}

func (c *Client) url(stream string) string {
	return "http://" + c.address + "/streams/" + url.PathEscape(stream)
}

// sendKind returns the kind of a transport error: KindDown when the call cannot have
// reached the log service, otherwise KindTimeout.
func sendKind(err error) Kind {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return KindDown
	}
	return KindTimeout
}

func statusKind(status int) Kind {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return KindDown
	case status >= http.StatusInternalServerError:
		return KindTimeout
	default:
		return KindRefused
	}
}

func statusError(response *http.Response) error {
	const maxBytes = 200
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(body))
}
