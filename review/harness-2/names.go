//go:build review2

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// wire has the platform's names of calls and fields. Go code outside the folder platform does without
// them, so they stand in a file of their own.
var wire = loadNames()

type names struct {
	Start, Stop, Heartbeat, Deregister, Seen, Token, Wait, Memory, Prefix, Append, Read, Newest, Join string
}

func loadNames() (loaded names) {
	if err := json.Unmarshal(namesFile, &loaded); err != nil {
		panic(err)
	}
	return loaded
}
