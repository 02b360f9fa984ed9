package fleet

import "crypto/sha256"

// keyDomain precedes a key in the input of its digest, so that the digest of a key is not
// equal to a digest that another system stores of it. Nodes of one fleet must agree on it.
const keyDomain = "cowsliptally organisation key\x00"

// KeyDigest is the SHA-256 digest of an organisation's key. Configurations hold digests only,
// so that a key cannot be read from a node's memory, messages or logs.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	var space [128]byte
	content := append(append(space[:0], keyDomain...), key...)
	digest := sha256.Sum256(content)
	return KeyDigest(digest[:])
}

// OrganisationSettings holds what a configuration sets for one organisation. Its limit is
// returned by Configuration.Limit.
type OrganisationSettings struct {
	Name Organisation
	// Keys holds the digests of all valid keys; during a rotation there are two.
	Keys []KeyDigest
	// Weight is the value of one answered request; 0 for the weight of the route.
	Weight int
}

// Key returns the name under which a configuration holds the settings.
func (o OrganisationSettings) Key() Organisation { return o.Name }

// holders returns an entry for each valid key.
func (o OrganisationSettings) holders() []keyHolder {
	holders := make([]keyHolder, 0, len(o.Keys))
	for _, digest := range o.Keys {
		holders = append(holders, keyHolder{digest: digest, organisation: o.Name, weight: o.Weight})
	}
	return holders
}

// keyHolder is the organisation that one key belongs to.
type keyHolder struct {
	digest       KeyDigest
	organisation Organisation
	weight       int
}

// Key returns the digest under which a configuration holds the entry.
func (h keyHolder) Key() KeyDigest { return h.digest }
