// Package model is a small model of one service in virtual time: ingress nodes
// with the real balancer, judge and ejector, and backend servers with slots,
// queues and faults. It has no network and no processes. Every run with the
// same settings gives the same result.
//
// What it assumes: each ingress node decides for itself; the owners of all
// backend servers share one judge that sees service times and errors of every
// request, as owners that compare with what they learn as ingress nodes; a log
// that answers after a set time; a caller that gives up after a set time.
package model
