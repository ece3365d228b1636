package ptquota_test

import "flag"

// The fixed seed makes the result reproducible; -rapid.seed on the command line overrides it.
// The faults that this test has found are rare, so it draws more histories than the default.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
