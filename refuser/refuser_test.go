package refuser_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/refuser"
)

// TestPageNamesEveryReason compares the operators' page with the reasons and their statuses.
func TestPageNamesEveryReason(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/reasons.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, reason := range fleet.Reasons() {
		row := fmt.Sprintf("| `%s` | %d |", reason, refuser.Status(reason))
		if reason == fleet.ReasonBudget {
			row = "| `budget` |"
		}
		if !strings.Contains(string(page), row) {
			t.Errorf("the page has no row that starts with %s", row)
		}
	}
}

func TestRefusalCarriesItsOutcome(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	refuser.Refuse(w, refuser.Refusal{Request: "r", Executed: fleet.ExecutedNo, Reason: fleet.ReasonBusy, Message: "full"})
	is.Equal(w.Code, 503)
	is.Equal(w.Header().Get(fleet.HeaderRequestID), "r")
	is.Equal(w.Header().Get(fleet.HeaderExecuted), "no")
	is.Equal(w.Header().Get(fleet.HeaderReason), "busy")
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.Equal(w.Body.String(), `{"request":"r","executed":"no","reason":"busy","message":"full"}`+"\n")
}
