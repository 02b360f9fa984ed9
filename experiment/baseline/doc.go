// Package baseline implements well-known outlier detection rules as baselines for
// the experiment. Each rule decides on one node alone, without a floor.
package baseline
