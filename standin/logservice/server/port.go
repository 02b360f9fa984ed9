package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/logclient"
)

// answerTimeout is how long a port waits for an answer that does not come.
const answerTimeout = 2 * time.Second

var (
	errDown = errors.New("the log service is down")
	errLost = errors.New("no answer came")
)

// Port is one caller's way to a Server in the same process, without HTTP. It
// has the methods and error kinds of logclient.Client.
type Port struct {
	server *Server
	mu     sync.Mutex
	cut    bool
	lose   int
}

// NewPort returns a way to the server.
func NewPort(s *Server) *Port {
	return &Port{server: s}
}

// Cut stops or resumes every call of this port alone.
func (p *Port) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// Lose takes the next appends of this port, as many as this, without answering.
func (p *Port) Lose(appends int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = appends
}

// Append adds a record to the stream and returns its offset.
func (p *Port) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	const operation = "append"
	if err := p.admit(ctx, operation); err != nil {
		return 0, err
	}
	offset, lost := p.server.append(stream, append([]byte(nil), payload...))
	if p.loses() || lost {
		p.server.sleep(ctx, answerTimeout)
		return 0, &logclient.Error{Operation: operation, Kind: logclient.KindTimeout, Err: errLost}
	}
	return offset, nil
}

// Read returns the records of the stream from an offset on.
func (p *Port) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (logclient.Batch, error) {
	const operation = "read"
	if err := p.admit(ctx, operation); err != nil {
		return logclient.Batch{}, err
	}
	waiting, cancel := clockwork.WithTimeout(ctx, p.server.clock, wait)
	defer cancel()
	batch, err := p.server.await(waiting, stream, from, defaultLimit)
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

func (p *Port) admit(ctx context.Context, operation string) error {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	faults := p.server.Faults()
	if faults.Slow > 0 {
		p.server.sleep(ctx, time.Duration(faults.Slow)*time.Millisecond)
	}
	if faults.Hang {
		p.server.sleep(ctx, answerTimeout)
		return &logclient.Error{Operation: operation, Kind: logclient.KindTimeout, Err: errLost}
	}
	if cut || faults.Down {
		return &logclient.Error{Operation: operation, Kind: logclient.KindDown, Err: errDown}
	}
	return nil
}

func (p *Port) loses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lose == 0 {
		return false
	}
	p.lose--
	return true
}
