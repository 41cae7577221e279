package flow_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that the property tests are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4217")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}
