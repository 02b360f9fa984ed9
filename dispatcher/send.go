package dispatcher

import (
	"context"

	"cowsliptally.example/cowsliptally/pooler"
)

// send sends the request to the backend server once.
func (a *attempt) send(ctx context.Context) (*pooler.Exchange, error) {
	return a.dispatcher.pooler.Send(ctx, pooler.Message{
		Address: a.backend.Address,
		ID:      string(a.call.request),
		Echo:    a.dispatcher.echoHeader(),
		Request: a.outgoing(ctx),
		Content: a.content,
		OnStall: a.abandonSilent,
	})
}
