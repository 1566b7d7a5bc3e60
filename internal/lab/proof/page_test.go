package proof_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../../.."

// reference matches the name of a test on the page: `package.TestName` or `package.TestName/case`.
var reference = regexp.MustCompile("`([a-z]+)\\.((?:Test|Fuzz|Example)\\w+)(?:/([^`]+))?`")

// TestPage guards against a page that names tests or cases that don't exist, as after a rename.
func TestPage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "docs/PROOF.md"))
	if err != nil {
		t.Fatal(err)
	}
	all := reference.FindAllStringSubmatch(string(text), -1)
	if len(all) == 0 {
		t.Fatal("the page names no test")
	}
	for _, r := range all {
		if !exists(t, r[1], "func "+r[2]+"(") {
			t.Errorf("no test %s.%s", r[1], r[2])
		}
		// A case is a script file, a scenario or row in a script, or a string in the test's source.
		if c := r[3]; c != "" && !exists(t, r[1], "scenario "+c+"\n", "row "+strings.ReplaceAll(c, " ", "-")+"\n",
			`"`+c+`"`, "/"+c+"\x00", "/"+c+".txt\x00") {
			t.Errorf("no case %q of %s.%s", c, r[1], r[2])
		}
	}
}

// exists reports whether one of the texts occurs in a file of a package, or ends a file's path followed by a zero byte.
func exists(t *testing.T, pkg string, texts ...string) bool {
	t.Helper()
	found := false
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || found || d.IsDir() || !strings.Contains(path, "/"+pkg+"/") || strings.Contains(path, "/fuzz/") {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, s := range texts {
			found = found || strings.Contains(string(b), s) || strings.HasSuffix(path+"\x00", s)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
