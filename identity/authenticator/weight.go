package authenticator

// referenceWeight is the route's weight that doubles the weight of an organisation's requests,
// and the highest that counts. On the users' platform it is that of the highest priority.
const referenceWeight = 64

// Weigh returns the weight of a request from that of its organisation, 0 for none, and that of
// its route. The organisation's takes precedence: organisations differ by a factor of two at
// least, and the route's weight adds less. It still decides between requests of the same
// weight of organisation, as otherwise the least urgent kinds of work would get the slots of
// the most urgent ones under overload.
func Weigh(organisation, route int) int {
	if organisation <= 0 {
		return route
	}
	return organisation + organisation*min(max(0, route), referenceWeight)/referenceWeight
}
