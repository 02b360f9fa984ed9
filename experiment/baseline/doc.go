// Package baseline holds well-known rules of outlier detection to measure
// against. Each decides on one node alone, without a floor.
package baseline
