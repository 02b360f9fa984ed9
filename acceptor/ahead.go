package acceptor

import (
	"errors"
	"os"
	"slices"
	"time"
)

// chunk holds bytes that arrived at a time.
type chunk struct {
	content []byte
	at      time.Time
}

// takeAhead returns bytes that were read ahead, none after the end of a head, and when they
// arrived, or found false if nothing is left of them.
func (c *conn) takeAhead(b []byte) (n int, at time.Time, found bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return 0, time.Time{}, c.err != nil, c.err
	}
	first := &c.ahead[0]
	content := first.content[:min(len(b), len(first.content))]
	n, at = copy(b, content[:c.headLength(content)]), first.at
	first.content = first.content[n:]
	c.aheadBytes -= n
	if len(first.content) == 0 {
		c.ahead = c.ahead[1:]
	}
	return n, at, true, nil
}

func (c *conn) startReadingAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.err != nil || c.aheadBytes >= c.acceptor.readAhead {
		return
	}
	c.reading = make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{})
	go c.readAhead(c.reading)
}

// stopReadingAhead ends reading ahead and restores the read deadline.
func (c *conn) stopReadingAhead() {
	c.mu.Lock()
	reading := c.reading
	c.mu.Unlock()
	if reading == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(aLongTimeAgo)
	<-reading
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = nil
	if !c.closed { // Close has set a deadline of its own
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// readAhead reads until the buffer is full, the connection ends or it is interrupted.
func (c *conn) readAhead(done chan<- struct{}) {
	defer close(done)
	part := make([]byte, readSize)
	for {
		n, err := c.Conn.Read(part[:min(len(part), c.room())])
		c.mu.Lock()
		if n > 0 {
			c.ahead = append(c.ahead, chunk{content: slices.Clone(part[:n]), at: c.acceptor.clock.Now()})
			c.aheadBytes += n
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
		}
		c.mu.Unlock()
		c.noteEnd(err)
		c.notifyAhead()
		if err != nil || c.room() == 0 {
			return
		}
	}
}

// room returns the number of bytes that may still be read ahead.
func (c *conn) room() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.acceptor.readAhead-c.aheadBytes)
}

// watch calls notify with the bytes of later requests that have arrived, now and whenever
// there are more, until stop. The first byte begins a request.
func (c *conn) watch(notify func([]byte)) (stop func()) {
	c.mu.Lock()
	c.notify = notify
	c.mu.Unlock()
	c.notifyAhead()
	return func() {
		c.mu.Lock()
		c.notify = nil
		c.mu.Unlock()
		c.notifying.Lock() // waits for a call that is under way
		defer c.notifying.Unlock()
	}
}

// notifyAhead notifies the watcher of the bytes that have arrived.
func (c *conn) notifyAhead() {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	c.mu.Lock()
	notify := c.notify
	var pending []byte
	if notify != nil && len(c.peeked) > 0 && !c.ambiguous && c.err == nil {
		pending = slices.Clone(c.peeked)
		for _, part := range c.ahead {
			pending = append(pending, part.content...)
		}
	}
	c.mu.Unlock()
	if len(pending) > 0 {
		notify(pending)
	}
}
