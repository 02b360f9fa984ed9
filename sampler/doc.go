// Package sampler samples how long the threads of processes ran and waited for a processor, so that a failed
// test tells a process that was late from one that got no processor time.
package sampler
