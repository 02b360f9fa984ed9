package adopter

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// caller asks other nodes over ConfigurationService.
type caller struct {
	client *http.Client
}

// NewPeers returns what asks other nodes through an HTTP client.
func NewPeers(client *http.Client) Peers { return caller{client} }

// Fetch asks the node at an address.
func (c caller) Fetch(ctx context.Context, address string, known fleet.Revision) (Document, error) {
	service := cowsliptallyv1connect.NewConfigurationServiceClient(c.client, "http://"+address)
	request := connect.NewRequest(&cowsliptallyv1.FetchDocumentRequest{KnownRevision: uint64(known)})
	response, err := service.FetchDocument(ctx, request)
	if err != nil {
		return Document{}, err
	}
	if len(response.Msg.GetContent()) == 0 {
		return Document{}, nil
	}
	return Document{
		Revision: fleet.Revision(response.Msg.GetRevision()),
		Content:  response.Msg.GetContent(),
	}, nil
}
