package updater

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fleet"
)

// maxRate is the largest rate of an organisation in requests per second, and its
// largest burst in requests.
const maxRate = 10_000_000

func putLimit(c fleet.Configuration, l fleet.Limit) (fleet.Configuration, string, error) {
	const operation = "put limit"
	if err := checkName(operation, "organisation", string(l.Organisation)); err != nil {
		return c, "", err
	}
	if l.RequestsPerSecond == 0 || !within(l.RequestsPerSecond, 0, maxRate) {
		return c, "", refuse(operation, KindValue, "organisation %q: %v requests a second are not above 0 and at most %d", l.Organisation, l.RequestsPerSecond, maxRate)
	}
	if l.Burst < 1 || l.Burst > maxRate {
		return c, "", refuse(operation, KindValue, "organisation %q: burst %d is not between 1 and %d", l.Organisation, l.Burst, maxRate)
	}
	return c.WithLimit(l), fmt.Sprintf("put limit of organisation %q", l.Organisation), nil
}

func deleteLimit(c fleet.Configuration, name fleet.Organisation) (fleet.Configuration, string, error) {
	if _, found := c.Limit(name); !found {
		return c, "", refuse("delete limit", KindUnknown, "organisation %q has no limit", name)
	}
	return c.WithoutLimit(name), fmt.Sprintf("delete limit of organisation %q", name), nil
}
