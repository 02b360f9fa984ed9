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
	default:
		return nil
	}
	_ = response.Body.Close()
	return err
}
