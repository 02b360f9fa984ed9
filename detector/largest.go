package detector

// maxLateRequests is the number of requests in flight that count as evidence at once:
// requests queued behind one another are late together and not independent.
const maxLateRequests = 3

// largest holds the largest of the added values, in no order.
type largest [maxLateRequests]float64

// add keeps a value if it is among the largest.
func (m *largest) add(value float64) {
	least := 0
	for i := range m {
		if m[i] < m[least] {
			least = i
		}
	}
	m[least] = max(m[least], value)
}

// sum returns the sum of the largest values.
func (m *largest) sum() float64 {
	total := 0.0
	for _, value := range m {
		total += value
	}
	return total
}
