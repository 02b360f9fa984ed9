package detector

// kindState is what is kept of one request kind over the whole service.
type kindState struct {
	slow   reference
	path   reference
	errors failures
	// middle is what the middle backend server shows at the moment.
	middle middle
	// since counts the samples since the middle was worked out.
	since int
}

// middle is the median over the backend servers of their running means.
type middle struct {
	slow    float64
	path    float64
	failing float64
	faint   float64
}
