// Package configurator implements OperatorService: it changes and returns the
// configuration, reports which nodes have a revision in force, and lists past changes.
//
//	c := configurator.New(self, replicator, peers)
//	path, handler := cowsliptallyv1connect.NewOperatorServiceHandler(c)
package configurator
