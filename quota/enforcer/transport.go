package enforcer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// Transport makes calls to other nodes.
type Transport interface {
	Ask(ctx context.Context, address string, request *cowsliptallyv1.AskRequest) (*cowsliptallyv1.AskResponse, error)
	Renew(ctx context.Context, address string, request *cowsliptallyv1.RenewRequest) (*cowsliptallyv1.RenewResponse, error)
	GetUse(ctx context.Context, address string, request *cowsliptallyv1.GetUseRequest) (*cowsliptallyv1.GetUseResponse, error)
}

const (
	// idlePerPeer is the number of unused connections that are kept to one node.
	idlePerPeer = 2
	// idleTime closes connections that are not used.
	idleTime = time.Minute
	// maxAsk bounds the size of a request for credit and of its answer, in bytes.
	maxAsk = 4 << 10
	// askType is the content type of requests for credit and of their answers.
	askType = "application/protobuf"
	// maxMessage bounds the size of an answer, in bytes.
	maxMessage = 4 << 20
)

// Caller is the Transport over QuotaService. Its connections are not those of requests, so that a
// call never waits behind one.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller. Dialling takes no longer than the call may.
func NewCaller() *Caller {
	dialer := &net.Dialer{Timeout: askTimeout}
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTime,
	}}}
}

// Ask asks a node for credit.
func (c *Caller) Ask(ctx context.Context, address string, request *cowsliptallyv1.AskRequest) (*cowsliptallyv1.AskResponse, error) {
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+AskPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	message.Header["User-Agent"] = nil
	answer, err := c.client.Do(message)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAsk))
	if err != nil {
		return nil, err
	}
	if err := errorOf(answer); err != nil {
		return nil, err
	}
	response := &cowsliptallyv1.AskResponse{}
	return response, proto.Unmarshal(content, response)
}

// errorOf returns the error that the status of an answer stands for. Any server could answer 200
// to an unknown path; only the call's own answers carry its content type.
func errorOf(answer *http.Response) error {
	switch {
	case answer.StatusCode == http.StatusPreconditionFailed:
		return errNotFirst
	case answer.StatusCode == http.StatusOK && answer.Header.Get("Content-Type") == askType:
		return nil
	case answer.StatusCode == http.StatusNotFound:
		return errUnknownCall
	default:
		return fmt.Errorf("%w: status %d", errNotJoined, answer.StatusCode)
	}
}

// Renew asks a node for its promise to grant nothing.
func (c *Caller) Renew(ctx context.Context, address string, request *cowsliptallyv1.RenewRequest) (*cowsliptallyv1.RenewResponse, error) {
	return unwrap(c.service(address).Renew(ctx, connect.NewRequest(request)))
}

// GetUse asks a node for the use of quotas.
func (c *Caller) GetUse(ctx context.Context, address string, request *cowsliptallyv1.GetUseRequest) (*cowsliptallyv1.GetUseResponse, error) {
	return unwrap(c.service(address).GetUse(ctx, connect.NewRequest(request)))
}

func (c *Caller) service(address string) cowsliptallyv1connect.QuotaServiceClient {
	// Messages of some tens of bytes cost more processor time compressed than they save.
	return cowsliptallyv1connect.NewQuotaServiceClient(c.client, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessage))
}

// unwrap returns the message of a response.
func unwrap[T any](response *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
