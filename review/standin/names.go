package main

import (
	_ "embed"
	"encoding/json"
	"io"
	"strings"
)

// namesFile maps the names of the stand-ins to those of the platform.
//
//go:embed names.json
var namesFile []byte

// names translates between the names of the stand-ins and those of the platform.
type names struct {
	// words are paths and headers.
	words                map[string]string
	toPlatform, fromWire *strings.Replacer
}

var wire = readNames()

func readNames() names {
	var file struct {
		Fields map[string]string `json:"fields"`
		Words  map[string]string `json:"words"`
	}
	if err := json.Unmarshal(namesFile, &file); err != nil {
		panic("names.json: " + err.Error())
	}
	var to, from []string
	for own, platform := range file.Fields {
		to = append(to, `"`+own+`":`, `"`+platform+`":`)
		from = append(from, `"`+platform+`":`, `"`+own+`":`)
	}
	return names{words: file.Words, toPlatform: strings.NewReplacer(to...), fromWire: strings.NewReplacer(from...)}
}

// word returns the platform's path or header for a word.
func (n names) word(own string) string { return n.words[own] }

// encode returns a value as JSON with the platform's names.
func (n names) encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	return []byte(n.toPlatform.Replace(string(data))), err
}

// decode reads JSON with the platform's names.
func (n names) decode(body io.Reader, value any) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(n.fromWire.Replace(string(data))), value)
}
