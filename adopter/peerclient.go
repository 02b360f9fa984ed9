package adopter

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// peerClient fetches documents over ConfigurationService.
type peerClient struct {
	client *http.Client
}

// NewPeers returns Peers that call other nodes through an HTTP client.
func NewPeers(client *http.Client) Peers { return peerClient{client} }

// Fetch returns the document of the node at an address if it is newer than the known revision.
func (c peerClient) Fetch(ctx context.Context, address string, known fleet.Revision) (Document, error) {
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
