package main

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the time that this process has used on all processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the live heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// heapSizeOf returns the bytes of heap that a built value retains.
func heapSizeOf[T any](build func() T) float64 {
	before := heapBytes()
	value := build()
	after := heapBytes()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

// processorTimeOf returns the mean processor time of a run, in microseconds.
func processorTimeOf(runs int, run func(i int)) float64 {
	runtime.GC()
	before := processorTime()
	for i := range runs {
		run(i)
	}
	return float64((processorTime() - before).Nanoseconds()) / float64(runs) / 1000
}
