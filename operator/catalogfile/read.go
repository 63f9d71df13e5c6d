package catalogfile

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// MaxBytes is the largest size of a file, in bytes.
const MaxBytes = 8 << 20

// Read decodes a document: a mapping with owners and entries, a list of entries,
// or one entry. Errors are operator.Problems, which list all problems found.
func Read(data []byte) (operator.Document, error) {
	root, problems := parse(data)
	if len(problems) > 0 {
		return operator.Document{}, problems
	}
	r := &documentReader{}
	r.read(root)
	r.checkReferences()
	if err := r.sortedProblems().AsError(); err != nil {
		return operator.Document{}, err
	}
	return r.doc, nil
}

// ReadEntry decodes one entry. Errors are operator.Problems.
func ReadEntry(data []byte) (carobkeel.Entry, error) {
	root, problems := parse(data)
	if len(problems) > 0 {
		return carobkeel.Entry{}, problems
	}
	entry, section := readEntry("", root)
	return entry, section.problems.AsError()
}

// ReadQuota decodes the quota of the named owner. Errors are operator.Problems.
func ReadQuota(owner carobkeel.Owner, data []byte) (carobkeel.Quota, error) {
	root, problems := parse(data)
	if len(problems) > 0 {
		return carobkeel.Quota{}, problems
	}
	quota, section := readQuota(owner, root)
	return quota, section.problems.AsError()
}

// parse returns the root node of a file, which must hold exactly one document.
func parse(data []byte) (*yaml.Node, operator.Problems) {
	if len(data) > MaxBytes {
		return nil, operator.Problems{{Reason: fmt.Sprintf("the file has %d bytes, want at most %d", len(data), MaxBytes)}}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(replaceTabs(data)))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		return nil, syntaxProblem(err)
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		if err != nil {
			return nil, syntaxProblem(err)
		}
		return nil, operator.Problems{{Line: second.Line, Reason: "the file holds a second document"}}
	}
	return root.Content[0], nil
}

func syntaxProblem(err error) operator.Problems {
	if errors.Is(err, io.EOF) {
		return operator.Problems{{Reason: "the file is empty"}}
	}
	return operator.Problems{{Reason: strings.TrimPrefix(err.Error(), "yaml: ")}}
}

// replaceTabs replaces tabs in JSON by spaces, because YAML forbids tabs as
// indentation. This can't change a string: JSON has no literal tabs in strings.
func replaceTabs(data []byte) []byte {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	if len(trimmed) == 0 || (trimmed[0] != '{' && trimmed[0] != '[') {
		return data
	}
	return bytes.ReplaceAll(data, []byte("\t"), []byte(" "))
}

// documentReader decodes a document and collects the problems of its parts.
type documentReader struct {
	doc      operator.Document
	sections []*section
	// lines holds the lines of the name and owner fields of each entry, by entry
	// and field.
	lines map[[2]string]int
}

func (r *documentReader) read(root *yaml.Node) {
	r.lines = make(map[[2]string]int)
	top := newSection("")
	r.sections = append(r.sections, top)
	if root.Kind == yaml.SequenceNode {
		r.readEntries(root)
		return
	}
	if isEntry(root) {
		r.readEntry(0, root)
		return
	}
	o := newObject(top, "", root)
	r.doc.Revision = carobkeel.Revision(value(o, "revision", parseRevision))
	if owners, ok := o.child("owners"); ok {
		r.doc.OwnersListed = true
		r.readOwners(owners)
	}
	if entries, ok := o.takeField("entries"); ok {
		if entries.Kind != yaml.SequenceNode {
			top.add("entries", entries.Line, "want a list, have %s", kindName(entries))
		} else {
			r.readEntries(entries)
		}
	}
	o.reportUnknown()
}

// isEntry reports whether the root node is a single entry and not a document.
func isEntry(root *yaml.Node) bool {
	if root.Kind != yaml.MappingNode {
		return false
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		if root.Content[i].Value == "name" || root.Content[i].Value == "limits" {
			return true
		}
	}
	return false
}

func (r *documentReader) readOwners(owners *object) {
	names := make([]string, 0, len(owners.fields))
	for name := range owners.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		quota, s := readQuota(carobkeel.Owner(name), owners.fields[name])
		r.doc.Quotas = append(r.doc.Quotas, quota)
		r.sections = append(r.sections, s)
	}
}

func (r *documentReader) readEntries(list *yaml.Node) {
	for i, node := range list.Content {
		r.readEntry(i, node)
	}
}

func (r *documentReader) readEntry(index int, node *yaml.Node) {
	entry, s := readEntry(fmt.Sprintf("#%d", index+1), node)
	r.doc.Entries = append(r.doc.Entries, entry)
	r.sections = append(r.sections, s)
	for _, field := range []string{"name", "owner"} {
		r.lines[[2]string{entry.Name, field}] = s.lines[field]
	}
}

func (r *documentReader) checkReferences() {
	references := newSection("")
	for _, problem := range r.doc.ValidateReferences() {
		problem.Line = r.lines[[2]string{problem.Entry, problem.Field}]
		references.problems = append(references.problems, problem)
	}
	r.sections = append(r.sections, references)
}

// sortedProblems returns all problems in the order of their lines.
func (r *documentReader) sortedProblems() operator.Problems {
	var all operator.Problems
	for _, s := range r.sections {
		all = append(all, s.problems...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Line < all[j].Line })
	return all
}

func parseRevision(text string) (uint64, error) {
	revision, err := parseInteger(text)
	if err != nil || revision < 0 {
		return 0, errors.Errorf("%q is not a revision, want a whole number", text)
	}
	return uint64(revision), nil
}

func parseCount(text string) (int, error) {
	count, err := parseInteger(text)
	if err != nil || count > math.MaxInt32 || count < math.MinInt32 {
		return 0, errors.Errorf("%q is not a count, want a whole number", text)
	}
	return int(count), nil
}
