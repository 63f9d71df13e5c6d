package catalogfile

import (
	"fmt"
	"sort"

	"go.yaml.in/yaml/v3"

	"github.com/carobkeel/carobkeel/operator"
)

// object is a mapping in a file whose fields are being decoded. It records the
// problems and field lines in its section.
type object struct {
	*section
	// path is the prefix of the paths of the mapping's fields, as in "limits.".
	path string
	line int
	// fields holds the fields that have not been decoded yet.
	fields map[string]*yaml.Node
}

// section is shared by the mappings of one entry or owner and collects their
// problems.
type section struct {
	// label is the name of the entry in problems.
	label string
	// lines holds the line of each field, by the field's path.
	lines    map[string]int
	problems operator.Problems
}

func newSection(label string) *section {
	return &section{label: label, lines: make(map[string]int)}
}

func (s *section) add(field string, line int, format string, args ...any) {
	s.problems = append(s.problems, operator.Problem{
		Entry: s.label, Field: field, Line: line, Reason: fmt.Sprintf(format, args...),
	})
}

// newObject returns an object with the fields of a mapping. For a node of
// another kind it reports a problem and returns an object without fields.
func newObject(s *section, path string, node *yaml.Node) *object {
	o := &object{section: s, path: path, line: node.Line, fields: make(map[string]*yaml.Node)}
	if node.Kind != yaml.MappingNode {
		s.add(trimDot(path), node.Line, "want a mapping of fields, have %s", kindName(node))
		return o
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := path + key.Value
		if _, duplicate := o.fields[key.Value]; duplicate {
			s.add(name, key.Line, "stands twice")
			continue
		}
		s.lines[name] = key.Line
		o.fields[key.Value] = value
	}
	return o
}

// takeField returns the named field and removes it from the fields to decode. A
// null field counts as absent.
func (o *object) takeField(name string) (*yaml.Node, bool) {
	node, ok := o.fields[name]
	delete(o.fields, name)
	if ok && node.Tag == "!!null" {
		return nil, false
	}
	return node, ok
}

// scalar returns the text of a scalar field. It reports a field of another kind.
func (o *object) scalar(name string) (string, *yaml.Node, bool) {
	node, ok := o.takeField(name)
	if !ok {
		return "", nil, false
	}
	if node.Kind != yaml.ScalarNode {
		o.add(o.path+name, node.Line, "want one value, have %s", kindName(node))
		return "", nil, false
	}
	return node.Value, node, true
}

// text decodes a field that holds a string.
func (o *object) text(name string) string {
	value, node, ok := o.scalar(name)
	if ok && node.Tag != "!!str" {
		o.add(o.path+name, node.Line, "want a string, have %q; put it in quotes", value)
		return ""
	}
	return value
}

// required reports the named field if it is absent.
func (o *object) required(name string) {
	if node, ok := o.fields[name]; !ok || node.Tag == "!!null" {
		o.add(o.path+name, o.line, "is missing")
	}
}

// child returns the mapping in the named field.
func (o *object) child(name string) (*object, bool) {
	node, ok := o.takeField(name)
	if !ok {
		return nil, false
	}
	return newObject(o.section, o.path+name+".", node), true
}

// strings decodes a field that holds a list of strings.
func (o *object) strings(name string) []string {
	node, ok := o.takeField(name)
	if !ok {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		o.add(o.path+name, node.Line, "want a list, have %s", kindName(node))
		return nil
	}
	var values []string
	for _, item := range node.Content {
		if item.Kind != yaml.ScalarNode {
			o.add(o.path+name, item.Line, "want a list of strings, have %s in it", kindName(item))
			continue
		}
		values = append(values, item.Value)
	}
	return values
}

// reportUnknown reports the fields that have not been decoded as unknown.
func (o *object) reportUnknown() {
	unknown := make([]string, 0, len(o.fields))
	for name := range o.fields {
		unknown = append(unknown, name)
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		o.add(o.path+name, o.lines[o.path+name], "is not a field of the catalogue")
	}
}

// value decodes a scalar field with the given parse function.
func value[T any](o *object, name string, read func(string) (T, error)) T {
	var zero T
	text, node, ok := o.scalar(name)
	if !ok {
		return zero
	}
	result, err := read(text)
	if err != nil {
		o.add(o.path+name, node.Line, "%v", err)
		return zero
	}
	return result
}

func trimDot(path string) string {
	if path == "" {
		return ""
	}
	return path[:len(path)-1]
}

func kindName(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias, which catalogues may not use"
	default:
		return fmt.Sprintf("the value %q", node.Value)
	}
}
