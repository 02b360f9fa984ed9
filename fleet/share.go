package fleet

// Share is one service's part of a route's requests.
type Share struct {
	Service ServiceName
	// Weight is the size of the part, relative to the weights of the route's other shares.
	Weight int
}
