// Package detector finds the backend servers of one service that perform worse
// than the others. It does no I/O and reads no clock.
//
// Each request time becomes a normal score by its rank among the recent times
// of the service for that request kind, so the test holds for any
// distribution, however heavy its tail. Scores of samples add up in cumulative
// sums (CUSUM) of log-likelihood ratios, in nats. The current value of
// the median backend server is subtracted, so that a shift of the whole service is
// no evidence against a single backend server.
package detector
