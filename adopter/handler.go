package adopter

import (
	"context"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// FetchDocument returns the newest document to a node that has an older revision.
func (a *Adopter) FetchDocument(
	_ context.Context, request *connect.Request[cowsliptallyv1.FetchDocumentRequest],
) (*connect.Response[cowsliptallyv1.FetchDocumentResponse], error) {
	document := a.Document()
	response := &cowsliptallyv1.FetchDocumentResponse{Revision: uint64(document.Revision)}
	if document.Revision > fleet.Revision(request.Msg.GetKnownRevision()) {
		response.Content = document.Content
	}
	return connect.NewResponse(response), nil
}
