package ptlease_test

import "flag"

// A fixed seed gives one verdict; -rapid.seed on the command line draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
