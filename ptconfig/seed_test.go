package ptconfig_test

import "flag"

// A fixed seed makes the tests reproducible; -rapid.seed on the command line sets another.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
