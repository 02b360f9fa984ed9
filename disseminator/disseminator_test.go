package disseminator_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/disseminator"
)

func key(i int) disseminator.Key {
	return disseminator.Key{Class: disseminator.ClassMember, ID: fmt.Sprint(i)}
}

func tenBytes(disseminator.Key) int { return 10 }

func TestNextEntriesBoundsBytesAndTransmissions(t *testing.T) {
	is := is.New(t)
	d := disseminator.New(func(int) int { return 7 })
	for i := range 20 {
		d.Add(key(i))
	}
	sent := make(map[disseminator.Key]int)
	for d.Len() > 0 {
		taken := d.NextEntries(55, 64, tenBytes)
		is.True(len(taken) > 0 && len(taken) <= 5) // at most 55 bytes
		for _, k := range taken {
			sent[k]++
		}
	}
	for i := range 20 {
		is.Equal(sent[key(i)], 7)
	}
}

func TestNextEntriesPrefersLeastSentAndSkipsKnown(t *testing.T) {
	is := is.New(t)
	d := disseminator.New(func(int) int { return 7 })
	d.Add(key(1))
	is.Equal(d.NextEntries(10, 8, tenBytes), []disseminator.Key{key(1)})
	d.Add(key(2))
	is.Equal(d.NextEntries(10, 8, tenBytes), []disseminator.Key{key(2)})
	d.Add(key(3))
	skipThird := func(k disseminator.Key) int {
		if k == key(3) {
			return disseminator.SkipEntry
		}
		return 10
	}
	is.Equal(len(d.NextEntries(30, 8, skipThird)), 2)
	is.Equal(d.NextEntries(10, 8, tenBytes), []disseminator.Key{key(3)}) // kept, not counted
}

func TestUnpushedEntriesReturnsEachChangeOnce(t *testing.T) {
	is := is.New(t)
	d := disseminator.New(func(int) int { return 7 })
	d.Add(key(1))
	d.Add(key(2))
	is.Equal(d.UnpushedEntries(10, tenBytes), []disseminator.Key{key(1)})
	is.Equal(d.UnpushedEntries(100, tenBytes), []disseminator.Key{key(2)})
	is.Equal(len(d.UnpushedEntries(100, tenBytes)), 0)
	d.NextEntries(100, 8, tenBytes)
	d.Add(key(1)) // changed again
	is.Equal(d.UnpushedEntries(100, tenBytes), []disseminator.Key{key(1)})
}
