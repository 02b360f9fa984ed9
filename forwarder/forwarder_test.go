package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// echo answers with the path and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	content, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(content))
}

// sendRequest sends a request and returns its answer with the whole body.
func sendRequest(t testing.TB, r *rig, method, path, body string, headers ...string) (*http.Response, string) {
	return sendRequestTo(t, r.caller.URL, method, path, body, headers...)
}

// sendRequestTo sends a request to a node.
func sendRequestTo(t testing.TB, url, method, path, body string, headers ...string) (*http.Response, string) {
	request, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(content)
}

func TestForwardsWholeRequestsAndAnswers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.addOwner("a", http.HandlerFunc(echo))

	response, content := sendRequest(t, r, "POST", "/refund/%2F7?x=1", "body")
	is.Equal(response.StatusCode, 200)
	is.Equal(content, "POST /refund/%2F7?x=1 body")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "yes")
	is.True(response.Header.Get(fleet.HeaderRequestID) != "")

	response, content = sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "mine")
	is.Equal(content, "GET / ")
	is.Equal(response.Header.Get(fleet.HeaderRequestID), "mine")
}

func TestRefusesWithProofAndReason(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	response, content := sendRequest(t, r, "PUT", "/", "")
	is.Equal(response.StatusCode, 404)
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "no")
	is.Equal(response.Header.Get(fleet.HeaderReason), "noroute")
	is.True(strings.Contains(content, `"executed":"no","reason":"noroute"`))

	response, _ = sendRequest(t, r, "GET", "/", "")
	is.Equal(response.Header.Get(fleet.HeaderReason), "nobackend")
}
