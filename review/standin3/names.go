package main

import (
	_ "embed"
	"encoding/json"
	"io"
	"strings"
)

// namesFile maps the names of the stand-in to those of the platform.
//
//go:embed names.json
var namesFile []byte

// names translates between the two.
type names struct {
	// words are paths and headers.
	words                    map[string]string
	toPlatform, fromPlatform *strings.Replacer
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
	return names{words: file.Words, toPlatform: strings.NewReplacer(to...), fromPlatform: strings.NewReplacer(from...)}
}

// word returns a path or a header of the platform.
func (n *names) word(own string) string {
	word, known := n.words[own]
	if !known {
		panic("names.json has no word " + own)
	}
	return word
}

// encode returns a message as the platform names its fields.
func (n *names) encode(message any) []byte {
	text, err := json.Marshal(message)
	if err != nil {
		panic(err) // the messages hold numbers and texts only
	}
	return []byte(n.toPlatform.Replace(string(text)))
}

// decode reads a message.
func (n *names) decode(from io.Reader, message any) error {
	text, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(n.fromPlatform.Replace(string(text))), message)
}
