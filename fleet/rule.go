package fleet

// Lean says which of two mistakes a trust rule avoids first.
type Lean string

const (
	// LeanDetect favours short detection time.
	LeanDetect Lean = "detect"
	// LeanSteady favours few false ejections.
	LeanSteady Lean = "steady"
)

const (
	// DefaultSlowFactor is the ratio to the usual time from which a backend server is slow.
	DefaultSlowFactor = 3.0
	// DefaultErrorRate is the share of failures from which a backend server is bad.
	DefaultErrorRate = 0.05
	// DefaultDetectHours is the wanted spacing of false ejections under LeanDetect.
	DefaultDetectHours = 1_000.0
	// DefaultSteadyHours is the wanted spacing of false ejections under LeanSteady.
	DefaultSteadyHours = 100_000.0
)

// Rule says when the backend servers of a service are doubted and ejected.
type Rule struct {
	Lean Lean
	// FalseEjectionHours is the wanted mean time between false ejections of one
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
