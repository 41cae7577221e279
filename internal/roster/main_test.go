package roster

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed so that every run checks the same cases; -rapid.checks and -rapid.seed override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "400")
	flag.Parse()
	os.Exit(m.Run())
}
