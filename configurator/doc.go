// Package configurator implements OperatorService: it changes and returns the
// configuration, reports which nodes have a revision in force, and lists past changes.
//
//	o := operator.New(self, keeper, peers)
//	path, handler := cowsliptallyv1connect.NewOperatorServiceHandler(o)
package configurator
