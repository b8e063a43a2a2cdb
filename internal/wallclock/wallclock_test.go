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

// wallClockUses returns the positions in a file at which a wall clock time is converted to or from a number, or at
// which a time loses its monotonic clock reading.
func wallClockUses(t *testing.T, path string, text any) (uses []token.Position) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, text, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		s, ok := n.(*ast.SelectorExpr)
		if ok && slices.Contains([]string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "UnixDate"}, s.Sel.Name) {
			uses = append(uses, files.Position(s.Pos()))
		}
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return true
		}
		if s, ok := call.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Round" {
			if zero, ok := call.Args[0].(*ast.BasicLit); ok && zero.Value == "0" {
				uses = append(uses, files.Position(s.Pos()))
			}
		}
		return true
	})
	return uses
}

// TestWallClockUses checks which expressions wallClockUses reports and which it ignores.
func TestWallClockUses(t *testing.T) {
	for text, want := range map[string]int{
		"time.Now().UnixNano()": 1, "t.Unix()": 1, "t.UnixMilli() - s.UnixMicro()": 2, "time.Unix(1, 0)": 1,
		"time.UnixMilli(ms)": 1, "time.UnixMilli": 1, "t.Round(0)": 1,
		"time.Now()": 0, "t.Sub(s)": 0, "d.Round(time.Millisecond)": 0, "math.Round(x)": 0,
	} {
		if got := wallClockUses(t, "x.go", "package x\nvar x = "+text); len(got) != want {
			t.Errorf("%s: found %v, want %d", text, got, want)
		}
	}
}

// TestOnlyWallclockConvertsTimes checks that no file of the production programs except wallclock.go converts between
// times and Unix timestamps. A duration or deadline that is stored as a Unix timestamp is off by each jump of the wall
// clock.
func TestOnlyWallclockConvertsTimes(t *testing.T) {
	const root, packageFile = "../..", "../../internal/wallclock/wallclock.go"
	filesRead, usesInPackage := 0, 0
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
			filesRead++
			uses := wallClockUses(t, path, nil)
			if path == packageFile {
				usesInPackage = len(uses)
			} else if len(uses) > 0 {
				t.Errorf("wall clock times are converted outside %s: %v", packageFile, uses)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if filesRead < 50 || usesInPackage != 4 {
		t.Errorf("read %d files, found %d uses in %s, want at least 50 files and 4 uses",
			filesRead, usesInPackage, packageFile)
	}
}

// TestTimestampsRoundTrip checks that timestamps convert back to the same time and that Now returns no monotonic clock
// reading.
func TestTimestampsRoundTrip(t *testing.T) {
	now := Now()
	if strings.Contains(now.String(), "m=") {
		t.Errorf("%v has a monotonic clock reading", now)
	}
	timestamp := Milliseconds(now)
	if !FromMilliseconds(timestamp).Equal(now.Truncate(time.Millisecond)) || Nanoseconds(now)/1e6 != timestamp {
		t.Errorf("%v has timestamps %d ms and %d ns", now, timestamp, Nanoseconds(now))
	}
}
