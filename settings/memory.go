package settings

import (
	"math"
	"runtime/debug"
	"strconv"
)

const (
	// programBytes is left for what the garbage collector does not count: 21 MB of the program's
	// file stay in memory under load, and the kernel's part of each thread.
	programBytes = 24 << 20
	// collectorShare is the largest share of a VM's memory for what the collector counts; the rest is for the
	// program and its threads.
	collectorShare = 0.8
)

// MemoryLimit returns the memory that the garbage collector is to keep to, in bytes; 0 if the
// memory of the VM is not known. It bounds nothing by itself: garbage is collected sooner. It is
// at least half of the VM's memory, as a collector that runs all the time frees no more.
func (n Node) MemoryLimit() int64 {
	return min(int64(collectorShare*float64(n.VMMemory)), max(n.VMMemory/2, n.VMMemory-programBytes))
}

// LimitMemory has the garbage collector keep to MemoryLimit, unless GOMEMLIMIT is set.
func (n Node) LimitMemory() {
	if limit := n.MemoryLimit(); limit > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(limit)
	}
}

func (n Node) checkVMMemory() error {
	if n.VMMemory == 0 || n.VMMemory >= minMemoryBytes {
		return nil
	}
	return &Error{Flag: "--vm-memory", Value: strconv.FormatInt(n.VMMemory, 10), Expected: "0 or a number of bytes from " + strconv.Itoa(minMemoryBytes)}
}
