package ring

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestRingIsBoundedAndInOrder(t *testing.T) {
	is := is.New(t)
	r := New[int](2)
	is.True(r.Push(1))
	is.True(r.Push(2))
	is.True(!r.Push(3)) // full
	is.Equal(r.Dropped(), uint64(1))
	is.Equal(r.Len(), 2)
	for want := 1; want <= 2; want++ {
		entry, ok := r.Pop(context.Background())
		is.True(ok)
		is.Equal(entry, want)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := r.Pop(ctx)
	is.True(!ok) // empty and done
}
