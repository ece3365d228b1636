// Package ptexamples holds the declarations of the two first users, for the demo
// and for tests.
//
// # Usage
//
//	set, err := ptprofile.Parse("gwasanaeth.yaml", ptexamples.Gwasanaeth)
package ptexamples

import _ "embed"

// Gwasanaeth is the declarations of Gwasanaeth Galwadau'n Ôl Cymru.
//
//go:embed gwasanaeth.yaml
var Gwasanaeth []byte

// Gulong is the declarations of the Gulong Lakas Diagnostics Foundation.
//
//go:embed gulong.yaml
var Gulong []byte
