package detector

// mostLate is the number of requests in flight that count at a time: those that
// wait behind one another are late together and no independent evidence.
const mostLate = 3

// most holds the greatest of some values, in no order.
type most [mostLate]float64

// add takes a value in if it is among the greatest.
func (m *most) add(value float64) {
	least := 0
	for i := range m {
		if m[i] < m[least] {
			least = i
		}
	}
	m[least] = max(m[least], value)
}

// sum returns the sum of the greatest values.
func (m *most) sum() float64 {
	total := 0.0
	for _, value := range m {
		total += value
	}
	return total
}
