package config

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Names in TOML are case-sensitive, but the decoder matches them with struct fields regardless of
// case. A field that this version does not know would replace a known one whose name differs in
// case only.

// decodeExact decodes a TOML document into a struct. It ignores fields whose names differ from
// those of the struct in case only, and returns their names.
func decodeExact(data []byte, into any) (ignored []string, err error) {
	document := map[string]any{}
	if err := toml.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	ignored = dropInexact(document, reflect.TypeOf(into))
	if len(ignored) > 0 {
		// Positions in errors then refer to the document without these fields.
		if data, err = toml.Marshal(document); err != nil {
			return nil, err
		}
	}
	return ignored, toml.Unmarshal(data, into)
}

// dropInexact removes the fields with inexact names from a decoded value, at any depth, and
// returns their names. The type is that of the value's destination.
func dropInexact(value any, destination reflect.Type) (dropped []string) {
	for destination.Kind() == reflect.Pointer {
		destination = destination.Elem()
	}
	switch value := value.(type) {
	case map[string]any:
		if destination.Kind() == reflect.Struct {
			return dropInexactFields(value, destination)
		}
	case []any:
		if destination.Kind() != reflect.Slice {
			return nil
		}
		for _, element := range value {
			dropped = append(dropped, dropInexact(element, destination.Elem())...)
		}
	}
	return dropped
}

// dropInexactFields removes the fields with inexact names from a table and returns their names.
func dropInexactFields(table map[string]any, destination reflect.Type) (dropped []string) {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		field, exact, found := fieldNamed(destination, name)
		switch {
		case exact:
			dropped = append(dropped, dropInexact(table[name], field.Type)...)
		case found:
			delete(table, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

// fieldNamed returns the field of a struct that the decoder would fill from a name, and whether
// the name is exactly that of the field.
func fieldNamed(destination reflect.Type, name string) (field reflect.StructField, exact, found bool) {
	for i := range destination.NumField() {
		candidate := destination.Field(i)
		tag, _, _ := strings.Cut(candidate.Tag.Get("toml"), ",")
		if tag == name {
			return candidate, true, true
		}
		found = found || strings.EqualFold(tag, name)
	}
	return field, false, found
}
