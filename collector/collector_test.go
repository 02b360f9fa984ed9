package collector_test

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fault"
)

func TestCollectsWholeBodyOrReturnsCause(t *testing.T) {
	is := is.New(t)
	a := accountant.New(100_000)
	c := collector.New(a, 50_000)
	for _, size := range []int{0, 1, 4096, 4097, 50_000} {
		for _, length := range []int64{int64(size), -1} {
			content, err := c.Collect(iotest.HalfReader(strings.NewReader(strings.Repeat("x", size))), length)
			is.NoErr(err)
			is.Equal(len(content.Bytes()), size)
			content.Release()
		}
	}
	_, err := c.Collect(strings.NewReader(strings.Repeat("x", 50_001)), -1)
	is.Equal(fault.KindOf[collector.Kind](err), collector.KindTooLarge)
	_, err = c.Collect(strings.NewReader("short"), 10)
	is.Equal(fault.KindOf[collector.Kind](err), collector.KindBroken)
	_, err = c.Collect(iotest.ErrReader(errors.New("cut")), -1)
	is.Equal(fault.KindOf[collector.Kind](err), collector.KindBroken)
	is.Equal(a.Reserved(), int64(0))
}

// TestMemoryStaysInItsBound guards against many slow uploads that together exceed the bound.
func TestMemoryStaysInItsBound(t *testing.T) {
	is := is.New(t)
	const bound = 1 << 20
	a := accountant.New(bound)
	c := collector.New(a, 256<<10)
	var group sync.WaitGroup
	for range 64 {
		group.Go(func() {
			content, err := c.Collect(io.LimitReader(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 100<<10))), 100<<10), -1)
			if err == nil {
				content.Release()
			} else if fault.KindOf[collector.Kind](err) != collector.KindMemory {
				t.Error(err)
			}
		})
	}
	group.Wait()
	is.Equal(a.Reserved(), int64(0))
	is.True(a.Peak() <= bound)
	is.True(a.Peak() > bound/2)
}
