package prober_test

import (
	"context"
	"time"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// link implements prober.Transport for one node.
type link struct{ from *node }

func send[Q, A any](ctx context.Context, l link, address string, request *Q,
	handle func(*node) func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	defer l.from.waitUntilThawed()
	w, from := l.from.network, l.from.self.PeerAddress
	time.Sleep(w.latency)
	to := w.at(address)
	if to == nil {
		return nil, errLost
	}
	responses := make(chan *A, 1)
	if w.open(from, address) {
		go func() {
			to.waitUntilThawed()
			response, err := handle(to)(ctx, connect.NewRequest(request))
			time.Sleep(w.latency)
			if err == nil && w.open(address, from) {
				responses <- response.Msg
			}
		}()
	}
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l link) Probe(ctx context.Context, address string, request *cowsliptallyv1.ProbeRequest) (
	*cowsliptallyv1.ProbeResponse, error,
) {
	return send(ctx, l, address, request, func(n *node) func(context.Context, *connect.Request[cowsliptallyv1.ProbeRequest]) (
		*connect.Response[cowsliptallyv1.ProbeResponse], error) {
		return n.prober.Probe
	})
}

func (l link) ProbeIndirect(ctx context.Context, address string, request *cowsliptallyv1.ProbeIndirectRequest) (
	*cowsliptallyv1.ProbeIndirectResponse, error,
) {
	return send(ctx, l, address, request, func(n *node) func(context.Context, *connect.Request[cowsliptallyv1.ProbeIndirectRequest]) (
		*connect.Response[cowsliptallyv1.ProbeIndirectResponse], error) {
		return n.prober.ProbeIndirect
	})
}

func (l link) Compare(ctx context.Context, address string, request *cowsliptallyv1.CompareRequest) (
	*cowsliptallyv1.CompareResponse, error,
) {
	if address == l.from.self.PeerAddress {
		l.from.network.countLoop()
	}
	if compared := l.from.network.compared; compared != nil {
		compared(l.from.self.PeerAddress, address)
	}
	response, err := send(ctx, l, address, request, func(n *node) func(context.Context, *connect.Request[cowsliptallyv1.CompareRequest]) (
		*connect.Response[cowsliptallyv1.CompareResponse], error) {
		return n.prober.Compare
	})
	if err == nil && l.from.network.joining[address] {
		response.Joining = true
	}
	return response, err
}
