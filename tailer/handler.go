package tailer

import (
	"context"

	"cowsliptally.example/cowsliptally/logclient"
)

// Handler processes one record; after an error the record is delivered again.
type Handler func(ctx context.Context, entry logclient.Entry) error
