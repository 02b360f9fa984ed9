// Package operator answers OperatorService: it changes the configuration,
// shows it, tells where a revision is in force and who changed what.
//
//	o := operator.New(self, keeper, fetcher)
//	path, handler := cowsliptallyv1connect.NewOperatorServiceHandler(o)
package operator
