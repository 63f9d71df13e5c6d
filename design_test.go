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

// designPages are the pages that cite tests as evidence for their claims.
var designPages = []string{"docs/DESIGN.md", "docs/design/platform.md", "docs/design/connections.md"}

var (
	testName       = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9]+)`")
	testDefinition = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9]+)\(`)
)

// definedTests returns the names of all tests of the module.
func definedTests(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range testDefinition.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func TestDesignPageNamesTestsThatExist(t *testing.T) {
	g := NewWithT(t)
	defined := definedTests(t)
	for _, name := range designPages {
		page, err := os.ReadFile(name)
		g.Expect(err).NotTo(HaveOccurred())
		named := testName.FindAllStringSubmatch(string(page), -1)
		g.Expect(named).NotTo(BeEmpty(), name)
		for _, match := range named {
			g.Expect(defined).To(HaveKey(match[1]), name)
		}
	}
}
