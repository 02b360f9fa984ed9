package rig

// Grown returns the settings of a small deployment with the figures of the site file
// haneul-returns-grown.
func Grown(config string, services ...string) Options {
	return Options{
		Services: services, Config: config, Slots: 8,
		StableWindowS: 3, AckS: 5, CatchUpS: 6, DrainS: 2.5, GraceS: 6, ConfigApplyS: 2.5, StretchS: 5,
		RetrySlack: 188, MemoryMB: 184, Descriptors: 4100, CPUShare: 0.16, WritesPerS: 1200, ReadsPerS: 6000,
	}
}

// Large returns the settings of a small deployment with the figures of the site file
// haneul-returns-large.
func Large(config string, services ...string) Options {
	return Options{
		Services: services, Config: config, Slots: 9,
		StableWindowS: 4, AckS: 5, CatchUpS: 6, DrainS: 3, GraceS: 10, ConfigApplyS: 3, StretchS: 6,
		RetrySlack: 430, MemoryMB: 184, Descriptors: 4100, CPUShare: 0.16, WritesPerS: 3200, ReadsPerS: 16000,
	}
}

// Returns returns the settings of a small deployment with the figures of the site file
// haneul-returns.
func Returns(config string, services ...string) Options {
	return Options{
		Services: services, Config: config, Slots: 4,
		StableWindowS: 3, AckS: 4, CatchUpS: 4, DrainS: 2, GraceS: 6, ConfigApplyS: 2, StretchS: 5,
		RetrySlack: 60, MemoryMB: 284, Descriptors: 4100, CPUShare: 0.32, WritesPerS: 400, ReadsPerS: 2000,
	}
}
