// Package ptexamples embeds the declarations of the first two users, for the demo and
// for tests.
//
// # Usage
//
//	declarations, err := ptprofile.Parse("gwasanaeth.yaml", ptexamples.Gwasanaeth)
package ptexamples

import _ "embed"

// Gwasanaeth is the file of declarations of Gwasanaeth Galwadau'n Ôl Cymru.
//
//go:embed gwasanaeth.yaml
var Gwasanaeth []byte

// Gulong is the file of declarations of the Gulong Lakas Diagnostics Foundation.
//
//go:embed gulong.yaml
var Gulong []byte
