package wallclock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// clockOfDay lists the places in a file where a reading of the clock of day becomes a number, or a number a reading, or
// where a time loses its monotonic part.
func clockOfDay(t *testing.T, path string, text any) (places []token.Position) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, text, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		s, ok := n.(*ast.SelectorExpr)
		if ok && slices.Contains([]string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "UnixDate"}, s.Sel.Name) {
			places = append(places, files.Position(s.Pos()))
		}
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return true
		}
		if s, ok := call.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Round" {
			if zero, ok := call.Args[0].(*ast.BasicLit); ok && zero.Value == "0" {
				places = append(places, files.Position(s.Pos()))
			}
		}
		return true
	})
	return places
}

// TestCheckFinds shows what the check of TestClockOfDayInOnePlace finds and what it leaves alone.
func TestCheckFinds(t *testing.T) {
	for text, want := range map[string]int{
		"time.Now().UnixNano()": 1, "t.Unix()": 1, "t.UnixMilli() - s.UnixMicro()": 2, "time.Unix(1, 0)": 1,
		"time.UnixMilli(ms)": 1, "time.UnixMilli": 1, "t.Round(0)": 1,
		"time.Now()": 0, "t.Sub(s)": 0, "d.Round(time.Millisecond)": 0, "math.Round(x)": 0,
	} {
		if got := clockOfDay(t, "x.go", "package x\nvar x = "+text); len(got) != want {
			t.Errorf("%s: found %v, want %d", text, got, want)
		}
	}
}

// TestClockOfDayInOnePlace reads the programs in service: wallclock.go alone deals in Unix times. A duration or a
// deadline that is kept as one is wrong by each step of the clock of day.
func TestClockOfDayInOnePlace(t *testing.T) {
	const root, here = "../..", "../../internal/wallclock/wallclock.go"
	seen, inPlace := 0, 0
	for _, top := range []string{"cmd/sidecar", "cmd/fleetsidecar", "cmd/adapter", "balance", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			switch name := entry.Name(); {
			case err != nil:
				return err
			case entry.IsDir() && (path == root+"/internal/lab" || path == root+"/internal/standin"):
				return fs.SkipDir
			case entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
				return nil
			}
			seen++
			places := clockOfDay(t, path, nil)
			if path == here {
				inPlace = len(places)
			} else if len(places) > 0 {
				t.Errorf("the clock of day is dealt with outside %s: %v", here, places)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if seen < 50 || inPlace != 4 {
		t.Errorf("%d files were read, with %d places in %s, want 50 at least and 4", seen, inPlace, here)
	}
}

// TestStamps has stamps come back as they were, and readings have no monotonic part.
func TestStamps(t *testing.T) {
	now := Now()
	if strings.Contains(now.String(), "m=") {
		t.Errorf("%v has a monotonic part", now)
	}
	stamp := Milliseconds(now)
	if !FromMilliseconds(stamp).Equal(now.Truncate(time.Millisecond)) || Nanoseconds(now)/1e6 != stamp {
		t.Errorf("%v is stamped %d and %d", now, stamp, Nanoseconds(now))
	}
}
