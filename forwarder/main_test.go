package forwarder

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	fmt.Println("rapid seed 7")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.shrinktime", "1s")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
