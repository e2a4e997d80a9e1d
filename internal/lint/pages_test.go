package lint

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// testInPage matches the name of a test or a fuzz test in a page.
var testInPage = regexp.MustCompile(`\b(Test|Fuzz)[A-Z][A-Za-z0-9_]*\b`)

// Guards against a page that names a test which was renamed or removed: what the page claims has
// no proof then.
func TestPagesNameExistingTests(t *testing.T) {
	counts := countTests(t)
	named := 0
	for _, page := range pages(t) {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		number := 0
		for line := range strings.Lines(string(content)) {
			number++
			for _, name := range testInPage.FindAllString(line, -1) {
				named++
				if counts[name] == 0 {
					t.Errorf("%s:%d names %s, which does not exist", strings.TrimPrefix(page, moduleRoot+"/"), number, name)
				}
			}
		}
	}
	if named == 0 {
		t.Error("no page names a test")
	}
}

// pages returns the files of README.md and of the pages under docs.
func pages(t *testing.T) []string {
	t.Helper()
	files := []string{filepath.Join(moduleRoot, "README.md")}
	err := filepath.WalkDir(filepath.Join(moduleRoot, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".md") {
			files = append(files, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(files)
	return files
}
