package protocol

import (
	"github.com/go-json-experiment/json"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// decoding reads JSON as the standard library's first version does: names in any
// case, the last of two fields of one name.
var decoding = jsonv1.DefaultOptionsV1()

// Decode reads what other processes send and what the records hold. The package must
// be one that does without package unsafe: a faster one that did not left pointers to
// freed memory behind (see docs/incidents/unsafe-json.md).
func Decode(data []byte, into any) error { return json.Unmarshal(data, into, decoding) }
