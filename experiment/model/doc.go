// Package model simulates one service in virtual time: ingress nodes with the real
// balancer, evaluator and ejector, and backend servers with slots, queues and
// faults. It uses no network and no processes. Every run with the same settings
// gives the same result.
//
// Assumptions: each ingress node decides for itself; the owners of all backend
// servers share one evaluator that receives the service times and errors of every
// request, like owners that compare with their own measurements as ingress nodes;
// the log answers after a set time; a caller gives up after a set time.
package model
