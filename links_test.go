package carobkeel_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// markdownLink matches the target of a link, without a title after it.
var markdownLink = regexp.MustCompile(`\]\(([^)\s]+)[^)]*\)`)

// pages returns the Markdown files of the root and of docs.
func pages(t *testing.T) []string {
	t.Helper()
	found, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir("docs", func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && filepath.Ext(path) == ".md" {
			found = append(found, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// relativeTargets returns the paths that a page links to, from the root.
func relativeTargets(page, text string) []string {
	var targets []string
	for _, match := range markdownLink.FindAllStringSubmatch(text, -1) {
		target, _, _ := strings.Cut(match[1], "#")
		if target == "" || strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
			continue
		}
		targets = append(targets, filepath.Join(filepath.Dir(page), target))
	}
	return targets
}

func TestRelativeLinksOfPagesResolve(t *testing.T) {
	g := NewWithT(t)
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		g.Expect(err).NotTo(HaveOccurred())
		for _, target := range relativeTargets(page, string(text)) {
			g.Expect(target).To(BeAnExistingFile(), "linked from %s", page)
		}
	}
}

func TestIndexLinksEachPage(t *testing.T) {
	g := NewWithT(t)
	const index = "docs/README.md"
	text, err := os.ReadFile(index)
	g.Expect(err).NotTo(HaveOccurred())
	linked := relativeTargets(index, string(text))
	for _, page := range pages(t) {
		if page != index && strings.HasPrefix(page, "docs/") {
			g.Expect(linked).To(ContainElement(page), "page is not linked from %s", index)
		}
	}
}
