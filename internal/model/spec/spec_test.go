package spec_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// TestFindings guards against findings that are missing, have the wrong position or suppress others.
func TestFindings(t *testing.T) {
	files, err := filepath.Glob("testdata/findings/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no test data", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".yaml")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			document, _, findings := spec.DecodeDocument(string(text))
			var out bytes.Buffer
			for _, f := range findings {
				out.WriteString(f.String() + "\n")
			}
			if len(findings) == 0 {
				e := json.NewEncoder(&out)
				e.SetIndent("", "  ")
				if err := e.Encode(document); err != nil {
					t.Fatal(err)
				}
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/findings"), goldie.WithNameSuffix(".golden")).Assert(t, name, out.Bytes())
		})
	}
}

func read(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata/findings", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestExportImport guards against an export that loses comments or whose import changes the document.
func TestExportImport(t *testing.T) {
	want, sections, findings := spec.DecodeDocument(read(t, "good.yaml"))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	long, err := spec.EncodeDocument(sections)
	if err != nil {
		t.Fatal(err)
	}
	for _, comment := range []string{"# every zone", "# the pool of everyday work"} {
		if !strings.Contains(long, comment) {
			t.Errorf("export lost the comment %q:\n%s", comment, long)
		}
	}
	got, _, findings := spec.DecodeDocument(long)
	if len(findings) > 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("import of the export differs: %v\n%s", findings, long)
	}
	if got, findings := spec.Decode(sections); len(findings) > 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("sections differ from the long document: %v", findings)
	}
}

// TestCheck guards against an edit that is checked without the rest of the document, and against the removal of
// sections that are in use.
func TestCheck(t *testing.T) {
	document, sections, _ := spec.DecodeDocument(read(t, "good.yaml"))
	v := fleet.View{}.WithDocument(document).WithPool("spare", []fleet.PoolMember{{ID: "w1"}})
	for _, s := range sections {
		v = v.WithSection(s)
	}
	d, findings := spec.Check(v, fleet.Section{Name: "team/ropes", Text: "ceiling: 7"})
	if len(findings) > 0 || d.Teams["ropes"].Ceiling != 7 || len(d.Queues) != 1 {
		t.Errorf("changed document %v, findings %v", d, findings)
	}
	for _, c := range []struct{ name, want string }{
		{"team/ropes", `[keys/ropes:1:1: team "ropes" has no section queue/quotes:1:7: team "ropes" has no section]`},
		{"pool/spare", `[pool/spare:0:0: the pool still has 1 instances; move them first]`},
		{"zone/west", `[]`},
	} {
		_, findings := spec.CheckWithout(v, c.name)
		text := []string{}
		for _, f := range findings {
			text = append(text, f.String())
		}
		if got := "[" + strings.Join(text, " ") + "]"; got != c.want {
			t.Errorf("without %s: %s, want %s", c.name, got, c.want)
		}
	}
}

// FuzzDecode guards against input that crashes the decoder, and against accepted documents that an export or import
// changes.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"good.yaml", "bad.yaml", "syntax.yaml", "several.yaml", "alias.yaml", "list.yaml"} {
		f.Add(read(f, name))
	}
	f.Fuzz(func(t *testing.T, text string) {
		document, sections, findings := spec.DecodeDocument(text)
		for _, f := range findings {
			if f.Message == "" || f.Line < 0 || f.Column < 0 {
				t.Errorf("finding %#v", f)
			}
		}
		if len(findings) > 0 {
			return
		}
		long, err := spec.EncodeDocument(sections)
		if err != nil {
			t.Fatal(err)
		}
		again, _, findings := spec.DecodeDocument(long)
		if len(findings) > 0 || !reflect.DeepEqual(document, again) {
			t.Errorf("export %q has findings %v", long, findings)
		}
	})
}

// BenchmarkCheck checks one changed section in a document of the planned size: 271 pools and 170 teams.
func BenchmarkCheck(b *testing.B) {
	v := fleet.View{}
	for i := range 271 {
		v = v.WithSection(fleet.Section{Name: fmt.Sprint("pool/p", i), Text: "min: 100\nwave: 5\n"})
	}
	for i := range 170 {
		v = v.WithSection(fleet.Section{Name: fmt.Sprint("team/t", i), Text: "share: 3\nceiling: 400\n"})
		for n := range 4 {
			v = v.WithSection(fleet.Section{Name: fmt.Sprintf("queue/q%d-%d", i, n), Text: fmt.Sprintf("team: t%d\npool: p%d\nwithin: 5s\n", i, i)})
		}
	}
	for b.Loop() {
		if _, findings := spec.Check(v, fleet.Section{Name: "team/t1", Text: "ceiling: 500"}); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}
