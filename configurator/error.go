package configurator

import (
	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/replicator"
)

// OperationHeader is the metadata key, on the error of a failed operation, that
// carries the operation's identifier.
const OperationHeader = "Cowsliptally-Operation"

// code returns the RPC code for an error of the replicator.
func code(err error) connect.Code {
	switch replicator.KindOf(err) {
	case replicator.KindUnavailable, replicator.KindNotReady:
		return connect.CodeUnavailable
	case replicator.KindInvalid:
		return connect.CodeInvalidArgument
	default:
		return connect.CodeUnknown
	}
}

// failed returns the RPC error for a failed operation, with the operation's identifier.
func failed(operation string, err error) error {
	rpcError := connect.NewError(code(err), err)
	rpcError.Meta().Set(OperationHeader, operation)
	return rpcError
}
