package gatekeeper

import (
	"errors"
	"time"
)

// limitHead gives the head that is being read its deadline, unless a request before it runs.
// The caller holds mu.
func (c *conn) limitHead() {
	reading := c.head.Begun() && c.inHandler == 0 && len(c.waiting) == 0
	switch {
	case reading && c.headEnd.IsZero():
		c.headEnd = time.Now().Add(c.gate.limits.HeaderTimeout)
		_ = c.setDeadline()
	case !reading && !c.headEnd.IsZero():
		c.headEnd = time.Time{}
		_ = c.setDeadline()
	}
}

// setDeadline sets the sooner of both deadlines. The caller holds mu.
func (c *conn) setDeadline() error {
	if c.deadline.IsZero() || !c.headEnd.IsZero() && c.headEnd.Before(c.deadline) {
		return c.Conn.SetReadDeadline(c.headEnd)
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// SetReadDeadline sets the deadline of reads; that of the head remains.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.setDeadline()
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// noteTimeout counts a head that was not complete in time, and refuses the connection.
func (c *conn) noteTimeout() {
	c.mu.Lock()
	late := !c.headEnd.IsZero() && !time.Now().Before(c.headEnd) && c.refused.CompareAndSwap(false, true)
	c.mu.Unlock()
	if late {
		c.gate.note(reasonTime, c.ip)
	}
}
