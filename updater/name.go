package updater

import "strings"

const (
	// maxNameBytes is the largest length of a name.
	maxNameBytes = 200
	// nameCharacters lists the characters that are allowed in a name.
	nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@"
)

// checkName returns an error if a name is empty, too long or has an invalid character.
func checkName(operation, noun, name string) error {
	if name == "" {
		return refuse(operation, KindName, "the name of a %s is empty", noun)
	}
	if len(name) > maxNameBytes {
		return refuse(operation, KindName, "the name of a %s has %d bytes, at most %d are allowed", noun, len(name), maxNameBytes)
	}
	for _, r := range name {
		if !strings.ContainsRune(nameCharacters, r) {
			return refuse(operation, KindName, "the name of %s %q has the character %q; letters, digits and -_.:/@ are allowed", noun, name, r)
		}
	}
	return nil
}
