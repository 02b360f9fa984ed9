package pooler

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// maxStatus is the highest status of RFC 9110, section 15.
const maxStatus = 599

// errStatus is the error of an answer whose status is none of a final answer.
var errStatus = errors.New("the answer's status is not a final one from 200 to 599")

// errEncoding is the error of an answer whose protocol has no transfer encodings but that names one.
var errEncoding = errors.New("the answer of HTTP/1.0 has a transfer encoding")

// accept returns an error, after it has closed the body, unless the response may answer the
// request that is written since the count of writes had a value.
func (c *conn) accept(response *http.Response, before uint64) error {
	var err error
	switch status := response.StatusCode; {
	case c.wroteNothing(before):
		// The answer belongs to an earlier request on a connection that was broken off.
		err = net.ErrClosed
	case status < http.StatusOK || status > maxStatus:
		// No request asks for a switch of protocols (101); the bytes after one are no answers.
		c.breakOff()
		err = fmt.Errorf("%w: %d", errStatus, status)
	case !response.ProtoAtLeast(1, 1) && c.answer.isEncoded():
		// net/http ignores the encoding: the chunks would be part of the body, and its end that of the connection.
		c.breakOff()
		err = errEncoding
	default:
		return nil
	}
	_ = response.Body.Close()
	return err
}
