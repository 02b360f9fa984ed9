package operator

import (
	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/keeper"
)

// OperationHeader carries the operation identifier of a failed proposal.
const OperationHeader = "Cowsliptally-Operation"

// code returns the RPC code of a keeper's error.
func code(err error) connect.Code {
	switch keeper.KindOf(err) {
	case keeper.KindUnavailable, keeper.KindNotReady:
		return connect.CodeUnavailable
	case keeper.KindInvalid:
		return connect.CodeInvalidArgument
	default:
		return connect.CodeUnknown
	}
}

// failed returns the RPC error of a failed operation.
func failed(operation string, err error) error {
	answer := connect.NewError(code(err), err)
	answer.Meta().Set(OperationHeader, operation)
	return answer
}
