package protocol

import (
	"github.com/go-json-experiment/json"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// decodeOptions makes decoding behave like encoding/json version 1, except that field names are
// case-sensitive: a field whose name differs from a known one in case only is unknown, and
// ignored. The last of several fields with the same name applies.
var decodeOptions = json.JoinOptions(jsonv1.DefaultOptionsV1(), json.MatchCaseInsensitiveNames(false))

// Decode decodes JSON from other processes and from records. The JSON package must not use
// package unsafe: a faster package that used it left pointers to freed memory behind (see
// docs/incidents/unsafe-json.md).
func Decode(data []byte, into any) error { return json.Unmarshal(data, into, decodeOptions) }
