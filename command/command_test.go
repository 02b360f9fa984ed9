package command_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/command"
	"cowsliptally.example/cowsliptally/configurator"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/standin/logservice/server"

	"net/http"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

type noPeers struct{}

func (noPeers) Revisions(context.Context) []*cowsliptallyv1.NodeRevision { return nil }

type cli struct {
	Apply     command.Apply     `cmd:""`
	Export    command.Export    `cmd:""`
	Diff      command.Diff      `cmd:""`
	History   command.History   `cmd:""`
	Operation command.Operation `cmd:""`
	InForce   command.InForce   `cmd:"" name:"inforce"`
	Service   command.Service   `cmd:""`
	Route     command.Route     `cmd:""`
	Limit     command.Limit     `cmd:""`
	Override  command.Override  `cmd:""`
}

// node serves OperatorService of one node, with its own log service, in this process.
func node(t *testing.T) (*command.Context, *server.Server, *replicator.Replicator) {
	t.Helper()
	logs := server.New()
	logServer := httptest.NewServer(logs)
	t.Cleanup(logServer.Close)
	client := logclient.New(strings.TrimPrefix(logServer.URL, "http://"))
	r := replicator.New(client)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	mux := http.NewServeMux()
	mux.Handle(cowsliptallyv1connect.NewOperatorServiceHandler(configurator.New("n1", r, noPeers{})))
	nodeServer := httptest.NewServer(mux)
	t.Cleanup(nodeServer.Close)
	for !r.Ready() {
		time.Sleep(time.Millisecond)
	}
	address := strings.TrimPrefix(nodeServer.URL, "http://")
	return &command.Context{Address: address, Timeout: 20 * time.Second}, logs, r
}

func run(t *testing.T, c *command.Context, arguments ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c.Out = &out
	parser, err := kong.New(&cli{})
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		t.Fatalf("%v: %v", arguments, err)
	}
	err = parsed.Run(c)
	return out.String(), err
}

func TestServiceIsPutListedAndInForce(t *testing.T) {
	is := is.New(t)
	c, _, r := node(t)
	out, err := run(t, c, "service", "put", "ledger", "--lean=steady", "--author=haneul")
	is.NoErr(err)
	is.True(strings.Contains(out, "accepted as revision 1"))
	_, found := r.Configuration().Service(fleet.ServiceName("ledger"))
	is.True(found)
	out, err = run(t, c, "service", "list")
	is.NoErr(err)
	is.True(strings.Contains(out, "service=ledger"))
	out, err = run(t, c, "inforce", "1")
	is.NoErr(err)
	is.True(strings.Contains(out, "all 1 nodes"))
	_, err = run(t, c, "route", "put", "r", "--service=unknown")
	is.Equal(command.ExitCode(err), 1)
	is.True(strings.Contains(err.Error(), `service "unknown" does not exist`))
}

func TestApplyDryRunPruneAndConflict(t *testing.T) {
	is := is.New(t)
	c, logs, r := node(t)
	const file = "../configfile/testdata/fleet.yaml"
	out, err := run(t, c, "apply", "--dry-run", file)
	is.NoErr(err)
	is.True(strings.Contains(out, "+ service ledger") && strings.Contains(out, "would be accepted as revision 1"))
	is.Equal(r.Configuration().Revision(), fleet.Revision(0))
	_, err = run(t, c, "apply", file)
	is.NoErr(err)
	out, err = run(t, c, "apply", "--prune", file)
	is.NoErr(err)
	is.True(strings.Contains(out, "nothing to change at revision 1"))
	exported, err := run(t, c, "export")
	is.NoErr(err)
	old := filepath.Join(t.TempDir(), "old.yaml")
	is.NoErr(os.WriteFile(old, []byte(strings.Replace(exported, "min_healthy_slots: 8", "min_healthy_slots: 9", 1)), 0o600))
	_, err = run(t, c, "limit", "put", "store-8", "--rate=1")
	is.NoErr(err)
	_, err = run(t, c, "apply", old)
	is.Equal(command.ExitCode(err), 1)
	is.True(strings.Contains(err.Error(), "conflict: base revision 1 is not the current revision 2"))
	logs.SetFaults(server.Faults{Down: true})
	for r.Status() != replicator.StatusDown {
		time.Sleep(time.Millisecond)
	}
	_, err = run(t, c, "limit", "put", "store-8", "--rate=2")
	is.Equal(command.ExitCode(err), 3)
	out, err = run(t, c, "limit", "list")
	is.NoErr(err)
	is.True(strings.Contains(out, "organisation=store-8 requestspersecond=1"))
}
