package host_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of randomised runs unless the command
// line sets others, for example
//
//	go test ./host -run Cluster -rapid.seed=7 -rapid.checks=1000
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
