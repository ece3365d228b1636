package ptjob_test

import "flag"

// The fixed seed makes the result reproducible; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
