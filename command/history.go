package command

import (
	"strings"
	"time"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// History lists accepted changes, newest first.
type History struct {
	Limit uint32 `default:"20" help:"Number of changes to list."`
}

// Run prints one line for each accepted change.
func (h *History) Run(c *Context) error {
	ctx, cancel := c.call()
	defer cancel()
	request := &cowsliptallyv1.GetHistoryRequest{Limit: h.Limit}
	response, err := c.Operator().GetHistory(ctx, connect.NewRequest(request))
	if err != nil {
		return callError("read history", err)
	}
	for _, r := range response.Msg.GetRevisions() {
		at := time.Unix(0, r.GetTimeUnixNano()).UTC().Format(time.RFC3339)
		c.printf("revision=%d time=%s author=%q operation=%s changes=%q\n",
			r.GetRevision(), at, r.GetAuthor(), r.GetOperation(), strings.Join(r.GetSummary(), "; "))
	}
	return nil
}
