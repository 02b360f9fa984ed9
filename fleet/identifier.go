package fleet

// ServiceName names a service; it is unique in the fleet.
type ServiceName string

// BackendID names a backend server; it is unique in the fleet and never reused.
type BackendID string

// NodeID names a node process; a restarted node gets a new one.
type NodeID string

// RequestID names one submission of a request by its caller.
type RequestID string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// Organisation names the customer on whose behalf a caller sends requests.
type Organisation string

// RequestKind names a class of requests with similar cost and value.
type RequestKind string
