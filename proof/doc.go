// Package proof holds the tests that break real processes and check that what
// callers were told agrees with what backend servers ran.
package proof
