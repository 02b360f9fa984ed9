// Package collector reads bodies into memory that an accountant bounds.
package collector

import (
	"errors"
	"io"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/fault"
)

// initialSize is the memory first reserved for a body in bytes; it doubles as the body arrives.
const initialSize = 4 << 10

// Collector reads bodies of a bounded size. It is safe for concurrent use.
type Collector struct {
	accountant *accountant.Accountant
	bound      int64
}

// New returns a collector of bodies of up to bound bytes each.
func New(a *accountant.Accountant, bound int64) *Collector {
	return &Collector{accountant: a, bound: bound}
}

// Bound returns the largest body in bytes.
func (c *Collector) Bound() int64 { return c.bound }

// Collect reads a whole body. Length is its declared length in bytes, or -1 if unknown.
func (c *Collector) Collect(r io.Reader, length int64) (*Content, error) {
	if length > c.bound {
		return nil, fault.New("collect", KindTooLarge, "body of %d bytes is over the bound of %d bytes", length, c.bound)
	}
	content, whole, err := c.CollectPart(r, length)
	if err != nil {
		return nil, err
	}
	if !whole {
		defer content.Release()
		if int64(len(content.Bytes())) < c.bound {
			return nil, fault.New("collect", KindMemory, "the %d bytes for bodies are taken", c.accountant.Bound())
		}
		return nil, fault.New("collect", KindTooLarge, "body is over the bound of %d bytes", c.bound)
	}
	return content, nil
}

// CollectPart reads a body until its end, the bound or the end of the free memory.
// It reports whether the body is whole; otherwise the rest is still in r.
func (c *Collector) CollectPart(r io.Reader, length int64) (*Content, bool, error) {
	content := &Content{accountant: c.accountant}
	if length == 0 {
		return content, true, nil
	}
	for {
		if len(content.bytes) == cap(content.bytes) && !c.extend(content, length) {
			return content, false, nil
		}
		n, err := r.Read(content.bytes[len(content.bytes):cap(content.bytes)])
		content.bytes = content.bytes[:len(content.bytes)+n]
		if int64(len(content.bytes)) == length || errors.Is(err, io.EOF) {
			return c.finish(content, length)
		}
		if err != nil {
			got := len(content.bytes)
			content.Release()
			return nil, false, fault.New("collect", KindBroken, "body ended after %d bytes: %w", got, err)
		}
	}
}

// extend makes room, up to one byte past the bound so that an end at the bound is detected.
func (c *Collector) extend(content *Content, length int64) bool {
	bound := c.bound + 1
	if length > 0 {
		bound = min(bound, length)
	}
	return int64(len(content.bytes)) < bound && content.grow(bound, length > 0)
}

func (c *Collector) finish(content *Content, length int64) (*Content, bool, error) {
	got := int64(len(content.bytes))
	if length > 0 && got < length {
		content.Release()
		return nil, false, fault.New("collect", KindBroken, "body ended after %d of %d bytes", got, length)
	}
	return content, got <= c.bound, nil
}
