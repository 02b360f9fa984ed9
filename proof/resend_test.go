package proof

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/checker"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/harness"
	"cowsliptally.example/cowsliptally/relay"
)

const (
	resenders = 8
	resends   = 3
)

// issueKey fetches an idempotency key from a node, which deduplicates the
// requests that carry it.
func (f *fixture) issueKey(vm *harness.VM) string {
	client := &http.Client{Timeout: second}
	response, err := client.Post("http://"+vm.CallerAddress+"/.well-known/cowsliptally/key", "", nil)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var answer struct {
		Key string `json:"key"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return ""
	}
	return answer.Key
}

// Callers send each refund several times with the same key, through any node,
// while responses are late, a node is killed and another one is frozen.
func TestResentKeysRunOnce(t *testing.T) {
	f := start(t, harness.WithRelays())
	resender := caller.New(f.harness.CallerAddresses(), []caller.Kind{refund}, caller.WithSeed(*seed+1))
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for sender := range resenders {
		senders.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					f.resend(resender, f.issueKey(f.vm((sender+i)%servers)))
				}
			}
		})
	}
	f.load(func() {
		time.Sleep(second)
		f.vm(0).Relay.SetFaults(relay.Faults{Back: relay.DirectionFaults{Cut: true}})
		time.Sleep(2 * second)
		f.vm(0).Relay.SetFaults(relay.Faults{})
		f.freeze(f.vm(1), 2*second)
		f.killVM(f.vm(2))
		f.vm(3).Backend.Kill()
		time.Sleep(second)
		close(stop)
		senders.Wait()
	})
	f.check()
	entries, err := f.harness.LedgerEntries()
	f.is.NoErr(err)
	report := checker.New(f.excused...).Check(resender.Records(), entries)
	t.Log(report)
	f.reportFindings(report, resender.Records())
	f.is.True(report.Answered > 0)
	f.is.True(report.Answered < report.Sent) // the repetitions were not run
}

// resend sends one refund several times with the same key.
func (f *fixture) resend(resender *caller.Caller, key string) {
	if key == "" {
		return
	}
	for range resends {
		record := caller.Record{
			Request: fleet.RequestID(uuid.NewString()), Key: key, Kind: refund.Name,
		}
		resender.SendRecord(refund, record)
	}
}
