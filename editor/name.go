package editor

import "strings"

const (
	// maxNameBytes bounds a name.
	maxNameBytes = 200
	// nameCharacters are the characters of a name.
	nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@"
)

// checkName refuses a name that is empty, too long or has a wrong character.
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
