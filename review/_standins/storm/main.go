// Command storm has the operator write versions of a configuration with many routes in quick
// succession, and checks which version the nodes use some seconds later.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/review/_standins/rig"
)

const (
	// Figures of the disruptions in the site file: the routes that big_config adds, and the
	// time between two versions of config_storm.
	manyRoutes = 1028
	stormGap   = 60 * time.Millisecond
	// calmGap is the time between two versions without the disruption.
	calmGap = 2 * time.Second
	// versions is the number of versions in the storm, which lasts 0.36 s.
	versions = 7

	configApply = 2500 * time.Millisecond
	deadline    = 8 * time.Second
	// probing is the time over which requests are sent, from configApply after the last
	// acknowledgement on.
	probing = 10 * time.Second
)

// config returns one version. The route /moved/ leads to a service, and tick changes an idle route.
func config(version int, service string, tick int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"resources":[`, version)
	for _, name := range []string{"ledger", "intake"} {
		fmt.Fprintf(&b, `{"resource_type":"services","metadata":{"name":%q},"spec":{"health_path":"/health","max_connections":1500,"protocol":"h1","tls":false}},`, name)
	}
	route := `{"resource_type":"routes","metadata":{"name":%q},"spec":{"host":%q,"path_prefix":%q,"route_kind":"safe","timeout_s":%d,"target_latency_s":1.5,"priority":2,"service":%q,"max_attempts":2}},`
	fmt.Fprintf(&b, route, "r-moved", "a.example", "/moved/", 8, service)
	for i := range manyRoutes {
		timeout := 8
		if i == tick {
			timeout = 7
		}
		fmt.Fprintf(&b, route, fmt.Sprintf("r-idle%05d", i), fmt.Sprintf("idle%05d.example", i), fmt.Sprintf("/path%05d/", i), timeout, "ledger")
	}
	b.WriteString(`{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`)
	return b.String()
}

func main() {
	options := rig.Grown(config(7, "ledger", 0), "ledger", "ledger", "intake")
	os.Exit(rig.Main(options, run))
}

func run(r *rig.Rig) (bool, error) {
	gap := calmGap
	if r.Trouble {
		gap = stormGap
	}
	next := time.Now()
	for i := range versions {
		version, service := 9+3*i, "ledger"
		if i == versions-1 {
			service = "intake"
		}
		content := config(version, service, i+1)
		time.Sleep(time.Until(next))
		next = next.Add(gap)
		r.Store.Put("keyed.op", "config", content)
		r.Logf("the store acknowledged version %d, %d bytes, /moved/ leads to %s", version, len(content), service)
	}
	acknowledged := time.Now()
	time.Sleep(configApply)
	if err := send(r, acknowledged.Add(configApply+probing)); err != nil {
		return false, err
	}
	return check(r, acknowledged), nil
}

// send sends requests at all nodes until a time.
func send(r *rig.Rig, until time.Time) error {
	for i := 0; time.Now().Before(until); i++ {
		for k, n := range r.Nodes {
			if _, err := r.Request(n.Name, n, http.MethodGet, "/moved/shop", fmt.Sprintf("m%d-%d", k, i), deadline, ""); err != nil {
				return err
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// check applies CONFIG to the requests, all of which were sent later than config_apply_s after
// the acknowledgement of the last version.
func check(r *rig.Rig, acknowledged time.Time) bool {
	old, current := 0, 0
	var latest time.Duration
	for _, n := range r.Nodes {
		for _, run := range n.Upstream.Runs() {
			if n.Upstream.Service == "intake" {
				current++
				continue
			}
			old++
			latest = max(latest, run.Began.Sub(acknowledged))
			r.Logf("CONFIG: %s was run by %s, %.3f s after the acknowledgement of the version that moved its route to intake",
				run.ID, n.Upstream.Service, run.Began.Sub(acknowledged).Seconds())
		}
	}
	r.Logf("%d requests were run by the old service, %d by the current one", old, current)
	fmt.Printf("CONFIG: %d requests were run by the old service, the last one %.1f s after the acknowledgement; %d by the current one\n",
		old, latest.Seconds(), current)
	return old > 0
}
