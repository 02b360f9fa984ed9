package forwarder

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/locator"
)

// Seeds of the two halves of an identity.
const (
	firstSeed  = 0
	secondSeed = 0x9e3779b97f4a7c15
)

// identify returns a hash that is the same each time a caller sends a request. It covers
// the service, method, path and body. The host and idempotency key are left out, so that
// another node's name or a new key does not make it another request.
func identify(service fleet.ServiceName, method string, target locator.Locator, content []byte) string {
	head := strings.Join([]string{string(service), method, target.String(), ""}, "\x00")
	return fmt.Sprintf("%016x%016x", seededHash(firstSeed, head, content), seededHash(secondSeed, head, content))
}

func seededHash(seed uint64, head string, content []byte) uint64 {
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.WriteString(head)
	_, _ = digest.Write(content)
	return digest.Sum64()
}
