// Command slopes measures how the cost of each part grows with its size, and
// prints a table of the fitted lines. docs/CAPACITY.md is based on its figures.
package main
