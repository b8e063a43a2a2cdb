package deploy

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed runs CI's reading of the list of known failures in checkouts that have one test each in two packages.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs(filepath.Join(root, ".ci", "known-red"))
	if err != nil {
		t.Fatal(err)
	}
	const one, two = "a TestOne; it hangs; issue 1\n", "a/b TestTwo; it fails now and then; issue 2\n"
	for _, tt := range []struct {
		name, list string
		skip       string // "": the list is turned down
		says       string
	}{
		{"one line", one, "^TestOne$", one},
		{"two lines, the last without its end", one + strings.TrimSuffix(two, "\n"), "^TestOne$|^TestTwo$", two},
		{"three lines", one + two + one, "^TestOne$|^TestTwo$|^TestOne$", two},
		{"a fourth", one + two + one + two, "", "more than 3 lines"},
		{"no cause", "a TestOne; issue 1\n", "", "line 1 is malformed"},
		{"an empty cause", "a TestOne; ; issue 1\n", "", "line 1 is malformed"},
		{"no package", "TestOne; it hangs; issue 1\n", "", "line 1 is malformed"},
		{"a pattern", "a Test.*; it hangs; issue 1\n", "", "line 1 is malformed"},
		{"an empty line", one + "\n" + two, "", "line 2 is malformed"},
		{"no such test", "a TestNone; it hangs; issue 1\n", "", "no test is called TestNone"},
		{"another package's", "a TestTwo; it hangs; issue 1\n", "", "TestTwo is not the test of a alone"},
		{"one of two of this name", "a TestBoth; it hangs; issue 1\n", "", "TestBoth is not the test of a alone"},
	} {
		folder := t.TempDir()
		for file, text := range map[string]string{
			"KNOWN-RED.txt":    tt.list,
			"a/a_test.go":      "package a\n\nfunc TestOne(t *testing.T) {}\n\nfunc TestBoth(t *testing.T) {}\n",
			"a/b/b_test.go":    "package b\n\nfunc TestTwo(t *testing.T) {}\n\nfunc TestBoth(t *testing.T) {}\n",
			"a/b/none_test.go": "package b\n\n// func TestNone(t *testing.T) {}\n",
		} {
			if err := os.MkdirAll(filepath.Join(folder, filepath.Dir(file)), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(folder, file), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var skip, says bytes.Buffer
		run := exec.Command("bash", script, folder)
		run.Stdout, run.Stderr = &skip, &says
		err := run.Run()
		if (err != nil) != (tt.skip == "") || strings.TrimSpace(skip.String()) != tt.skip || !strings.Contains(says.String(), strings.TrimSpace(tt.says)) {
			t.Errorf("%s: passes over %q, says %q, error %v", tt.name, skip.String(), says.String(), err)
		}
	}
	if out, err := exec.Command("bash", script, t.TempDir()).CombinedOutput(); err != nil || len(out) > 0 {
		t.Errorf("without a list it says %q, error %v", out, err)
	}
}
