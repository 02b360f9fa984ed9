// Package detector finds the backend servers of one service that answer worse
// than the others. It is pure: samples and times go in, scores come out.
//
// Each request time becomes a normal score by its rank among the recent times
// of the service for that request kind, so the test holds for any
// distribution, however heavy its tail. Scores of samples add up in cumulative
// sums (CUSUM) of log-likelihood ratios, in nats. What the middle backend
// server shows at the moment is taken off, so that a shift of the whole service
// is evidence against nobody.
package detector
