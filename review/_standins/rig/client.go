package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Answer is what a client got for one request.
type Answer struct {
	Status    int
	ID        string
	Signature string
	Body      string
	// Closes is set when the answer announces that the connection is closed behind it.
	Closes bool
}

// Client is one connection of a client. Its answers come in the order of its requests.
type Client struct {
	rig    *Rig
	name   string
	conn   net.Conn
	answer *bufio.Reader

	mu   sync.Mutex
	sent map[string]time.Time
}

// Dial opens a client's connection to a node.
func (r *Rig) Dial(name string, n *Node) (*Client, error) {
	conn, err := net.DialTimeout("tcp", n.Outbound(), time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{rig: r, name: name, conn: conn, answer: bufio.NewReader(conn), sent: make(map[string]time.Time)}, nil
}

// Send sends a request. It returns once the last byte is written.
func (c *Client) Send(method, path, id string, deadline time.Duration, body string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_, err := io.WriteString(c.conn, text.String())
	c.mu.Lock()
	c.sent[id] = time.Now()
	c.mu.Unlock()
	c.rig.Logf("client %s sends %s %s %s, error %v", c.name, method, path, id, err)
	return err
}

// SentAt is when the last byte of a request was written.
func (c *Client) SentAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// Read reads the next answer to its end, until a time.
func (c *Client) Read(until time.Time) (Answer, error) {
	_ = c.conn.SetReadDeadline(until)
	response, err := http.ReadResponse(c.answer, nil)
	if err != nil {
		c.rig.Logf("client %s gets no answer: %v", c.name, err)
		return Answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	a := Answer{
		Status: response.StatusCode, ID: response.Header.Get("X-Attempt-Id"),
		Signature: response.Header.Get("X-Server-Signature"), Body: string(body), Closes: response.Close,
	}
	c.rig.Logf("client %s gets %d for %s, signature %q, %d bytes, closes %v, error %v", c.name, a.Status, a.ID, a.Signature, len(body), a.Closes, err)
	return a, err
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Request sends one request over a connection of its own and returns its answer.
func (r *Rig) Request(name string, n *Node, method, path, id string, deadline time.Duration, body string) (Answer, error) {
	c, err := r.Dial(name, n)
	if err != nil {
		return Answer{}, err
	}
	defer c.Close()
	if err := c.Send(method, path, id, deadline, body); err != nil {
		return Answer{}, err
	}
	return c.Read(time.Now().Add(deadline + time.Second))
}
