package relay

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Relay forwards connections to one target. It is safe for concurrent use.
type Relay struct {
	target        string
	forward, back *gate

	mu    sync.Mutex
	links map[*link]struct{}
}

// New returns a relay to a target in the form IP:PORT.
func New(target string) *Relay {
	return &Relay{target: target, forward: newGate(), back: newGate(), links: map[*link]struct{}{}}
}

// SetFaults replaces the faults of open and new connections.
func (r *Relay) SetFaults(faults Faults) {
	r.forward.set(faults.Forward)
	r.back.set(faults.Back)
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.links {
		if faults.Silent {
			link.silent.Store(true)
		}
		if faults.Reset {
			link.reset()
		}
	}
}

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Serve forwards connections until ctx ends, then closes all of them.
func (r *Relay) Serve(ctx context.Context, listener net.Listener) error {
	var links sync.WaitGroup
	defer links.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		r.closeAll()
	})
	defer stop()
	for {
		client, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			r.closeAll()
			return nil
		}
		if err != nil {
			return err
		}
		links.Go(func() { r.connect(ctx, client) })
	}
}

// connect dials the target for a connection and copies until it ends.
func (r *Relay) connect(ctx context.Context, client net.Conn) {
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	link := newLink(client, target)
	r.mu.Lock()
	r.links[link] = struct{}{}
	r.mu.Unlock()
	if ctx.Err() != nil {
		link.close()
	}
	link.run(r.forward, r.back)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, link)
}

func (r *Relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.links {
		link.close()
	}
}
