package detector

// kindState is the state of one request kind over the whole service.
type kindState struct {
	slow   reference
	path   reference
	errors errorBaseline
	// median holds the current values of the median backend server.
	median medianValues
	// sinceMedians counts the samples since the medians were computed.
	sinceMedians int
}

// medianValues holds the medians of the moving averages of the backend servers.
type medianValues struct {
	slow      float64
	path      float64
	errorRate float64
	lowErrors float64
}
