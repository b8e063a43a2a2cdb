package deploy

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	testName = regexp.MustCompile("`(Test[A-Z]\\w*)`")
)

// TestCrossingsNameTheirTests: each test that the page on crossings of events names is in the repository.
func TestCrossingsNameTheirTests(t *testing.T) {
	tests := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, found := range testFunc.FindAllStringSubmatch(string(text), -1) {
			tests[found[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(root, "docs", "design", "crossings.md"))
	if err != nil {
		t.Fatal(err)
	}
	named := testName.FindAllStringSubmatch(string(page), -1)
	if len(named) < 60 {
		t.Errorf("the page names only %d tests", len(named))
	}
	for _, found := range named {
		if !tests[found[1]] {
			t.Errorf("the page names %s, which is no test", found[1])
		}
	}
}
