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

// MaxBytes is the largest file that is read, in bytes.
const MaxBytes = 8 << 20

// Read reads a document: a mapping with owners and entries, a list of entries,
// or one entry. A failure is an operator.Problems with everything that is
// wrong.
func Read(data []byte) (operator.Document, error) {
	root, problems := parse(data)
	if len(problems) > 0 {
		return operator.Document{}, problems
	}
	r := &documentReader{}
	r.read(root)
	r.checkReferences()
	if err := r.sorted().AsError(); err != nil {
		return operator.Document{}, err
	}
	return r.doc, nil
}

// ReadEntry reads one entry. A failure is an operator.Problems.
func ReadEntry(data []byte) (carobkeel.Entry, error) {
	root, problems := parse(data)
	if len(problems) > 0 {
		return carobkeel.Entry{}, problems
	}
	entry, section := readEntry("", root)
	return entry, section.problems.AsError()
}

// ReadQuota reads the quota of the named owner. A failure is an
// operator.Problems.
func ReadQuota(owner carobkeel.Owner, data []byte) (carobkeel.Quota, error) {
	root, problems := parse(data)
	if len(problems) > 0 {
		return carobkeel.Quota{}, problems
	}
	quota, section := readQuota(owner, root)
	return quota, section.problems.AsError()
}

// parse returns the root node of a file with exactly one document.
func parse(data []byte) (*yaml.Node, operator.Problems) {
	if len(data) > MaxBytes {
		return nil, operator.Problems{{Reason: fmt.Sprintf("the file has %d bytes, want at most %d", len(data), MaxBytes)}}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(spacesForTabs(data)))
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

// spacesForTabs lets JSON be indented by tabs, which YAML forbids. JSON has no
// tab within a string.
func spacesForTabs(data []byte) []byte {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	if len(trimmed) == 0 || (trimmed[0] != '{' && trimmed[0] != '[') {
		return data
	}
	return bytes.ReplaceAll(data, []byte("\t"), []byte(" "))
}

// documentReader reads the parts of a document.
type documentReader struct {
	doc      operator.Document
	sections []*section
	// lines holds the line of each entry's name and owner, by entry and field.
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
	o := openObject(top, "", root)
	r.doc.Revision = carobkeel.Revision(value(o, "revision", parseRevision))
	if owners, ok := o.child("owners"); ok {
		r.doc.OwnersListed = true
		r.readOwners(owners)
	}
	if entries, ok := o.take("entries"); ok {
		if entries.Kind != yaml.SequenceNode {
			top.add("entries", entries.Line, "want a list, have %s", kindName(entries))
		} else {
			r.readEntries(entries)
		}
	}
	o.finish()
}

// isEntry reports whether a mapping is an entry rather than a document.
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

// sorted returns all problems in the order of their lines.
func (r *documentReader) sorted() operator.Problems {
	var all operator.Problems
	for _, s := range r.sections {
		all = append(all, s.problems...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Line < all[j].Line })
	return all
}

func parseRevision(text string) (uint64, error) {
	revision, err := parseWhole(text)
	if err != nil || revision < 0 {
		return 0, errors.Errorf("%q is not a revision, want a whole number", text)
	}
	return uint64(revision), nil
}

func parseCount(text string) (int, error) {
	count, err := parseWhole(text)
	if err != nil || count > math.MaxInt32 || count < math.MinInt32 {
		return 0, errors.Errorf("%q is not a count, want a whole number", text)
	}
	return int(count), nil
}
