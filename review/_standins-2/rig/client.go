package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the identifier of a client attempt.
func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8|uint64(lastID.Add(1)&0xff))
}

// answer is what a client got.
type answer struct {
	id        string
	status    int
	signature string
	err       error
}

// send sends a request over a new connection to a node, byte for byte, and returns its answer.
func (f *fleet) send(m *machine, method, target, body string, deadline time.Duration, headers ...string) answer {
	id := newID()
	a := answer{id: id}
	head := []string{
		method + " " + target + " HTTP/1.1", "Host: shop.example", "X-Attempt-Id: " + id,
		fmt.Sprintf("X-Deadline-Ms: %d", deadline.Milliseconds()),
	}
	head = append(head, headers...)
	if method != http.MethodGet {
		head = append(head, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	f.note("sent     id=%s node=%s %s %s %s", id, m.name, method, target, strings.Join(headers, "; "))
	a.status, a.signature, a.err = exchange(m.outbound, method, strings.Join(head, "\r\n")+"\r\n\r\n"+body, deadline)
	f.note("answered id=%s status=%d signature=%q err=%v", id, a.status, a.signature, a.err)
	return a
}

func exchange(address, method, request string, deadline time.Duration) (int, string, error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(connection, request); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return response.StatusCode, "", err
	}
	return response.StatusCode, response.Header.Get("X-Server-Signature"), nil
}
