package fleet

// Lean is the preference of a health rule between fast detection of failing backend
// servers and few false ejections.
type Lean string

const (
	// LeanDetect prefers a short detection time.
	LeanDetect Lean = "detect"
	// LeanSteady prefers few false ejections.
	LeanSteady Lean = "steady"
)

const (
	// DefaultSlowFactor is the ratio to the usual service time from which a backend
	// server counts as slow.
	DefaultSlowFactor = 3.0
	// DefaultErrorRate is the share of failed attempts from which a backend server counts as unhealthy.
	DefaultErrorRate = 0.05
	// DefaultDetectHours is the default of FalseEjectionHours under LeanDetect.
	DefaultDetectHours = 1_000.0
	// DefaultSteadyHours is the default of FalseEjectionHours under LeanSteady.
	DefaultSteadyHours = 100_000.0
)

// Rule sets when the backend servers of a service count as degraded and are ejected.
type Rule struct {
	Lean Lean
	// FalseEjectionHours is the target for the mean time between false ejections of one
	// healthy backend server, in hours.
	FalseEjectionHours float64
	SlowFactor         float64
	ErrorRate          float64
}

// NewRule returns the default rule for a lean.
func NewRule(lean Lean) Rule {
	return Rule{Lean: lean}.WithDefaults()
}

// WithDefaults returns a copy with every zero field set to its default.
func (r Rule) WithDefaults() Rule {
	if r.Lean == "" {
		r.Lean = LeanSteady
	}
	if r.FalseEjectionHours == 0 && r.Lean == LeanDetect {
		r.FalseEjectionHours = DefaultDetectHours
	}
	if r.FalseEjectionHours == 0 {
		r.FalseEjectionHours = DefaultSteadyHours
	}
	if r.SlowFactor == 0 {
		r.SlowFactor = DefaultSlowFactor
	}
	if r.ErrorRate == 0 {
		r.ErrorRate = DefaultErrorRate
	}
	return r
}
