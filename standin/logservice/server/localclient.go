package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/logclient"
)

// responseTimeout is how long a LocalClient waits before it reports a missing response.
const responseTimeout = 2 * time.Second

var (
	errDown = errors.New("the log service is down")
	errLost = errors.New("no response received")
)

// LocalClient is a client of a Server in the same process that does not use HTTP. It
// has the methods and error kinds of logclient.Client.
type LocalClient struct {
	server *Server
	mu     sync.Mutex
	cut    bool
	lose   int
}

// NewLocalClient returns a client of the server.
func NewLocalClient(s *Server) *LocalClient {
	return &LocalClient{server: s}
}

// SetDisconnected sets whether the calls of this client fail as if the server were down.
// Other clients are not affected.
func (p *LocalClient) SetDisconnected(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// LoseResponses sets the number of next appends of this client that are stored but not
// answered.
func (p *LocalClient) LoseResponses(appends int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = appends
}

// Append appends a record to the stream and returns its offset.
func (p *LocalClient) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	const operation = "append"
	if err := p.admit(ctx, operation); err != nil {
		return 0, err
	}
	offset, lost := p.server.append(stream, append([]byte(nil), payload...))
	if p.losesResponse() || lost {
		p.server.sleep(ctx, responseTimeout)
		return 0, &logclient.Error{Operation: operation, Kind: logclient.KindTimeout, Err: errLost}
	}
	return offset, nil
}

// Read returns the records of the stream from an offset on. It waits for the
// first one for at most the given time.
func (p *LocalClient) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (logclient.Batch, error) {
	const operation = "read"
	if err := p.admit(ctx, operation); err != nil {
		return logclient.Batch{}, err
	}
	waitCtx, cancel := clockwork.WithTimeout(ctx, p.server.clock, wait)
	defer cancel()
	batch, err := p.server.await(waitCtx, stream, from, defaultLimit)
	if err != nil || ctx.Err() != nil {
		return logclient.Batch{}, &logclient.Error{Operation: operation, Kind: logclient.KindDown, Err: errDown}
	}
	if err := p.admit(ctx, operation); err != nil {
		return logclient.Batch{}, err
	}
	if from < batch.Oldest {
		return batch, &logclient.Error{Operation: operation, Kind: logclient.KindExpired, Err: errors.New("records have expired")}
	}
	return batch, nil
}

// admit applies the faults that stop or delay a call.
func (p *LocalClient) admit(ctx context.Context, operation string) error {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	faults := p.server.Faults()
	if faults.Slow > 0 {
		p.server.sleep(ctx, time.Duration(faults.Slow)*time.Millisecond)
	}
	if faults.Hang {
		p.server.sleep(ctx, responseTimeout)
		return &logclient.Error{Operation: operation, Kind: logclient.KindTimeout, Err: errLost}
	}
	if cut || faults.Down {
		return &logclient.Error{Operation: operation, Kind: logclient.KindDown, Err: errDown}
	}
	return nil
}

// losesResponse reports whether the response to an append is to be lost, and
// counts it.
func (p *LocalClient) losesResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lose == 0 {
		return false
	}
	p.lose--
	return true
}
