package deploy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// siteNames are what the settings of one customer name.
type siteNames struct {
	Name  string
	Net   struct{ Zones []string }
	Class []struct{ Name string }
	Tier  []struct {
		Name string
		Kind []struct{ Name string }
	}
	Tenant []struct{ Name string }
}

// distinct are the names that are no words of common use; kinds may be.
func (s *siteNames) distinct() (names []string) {
	names = append(names, s.Name)
	names = append(names, s.Net.Zones...)
	for _, c := range s.Class {
		names = append(names, c.Name)
	}
	for _, t := range s.Tier {
		names = append(names, t.Name)
	}
	for _, t := range s.Tenant {
		names = append(names, t.Name)
	}
	return names
}

func (s *siteNames) kinds() (names []string) {
	for _, t := range s.Tier {
		for _, k := range t.Kind {
			names = append(names, k.Name)
		}
	}
	return names
}

// operators is the deployment in service, whose file is not in the repository.
const operators = `
name = "linen-tracking"
net = { zones = ["reykjavik", "akureyri", "egilsstadir"] }
class = [{ name = "bag-status" }, { name = "par-update" }, { name = "delivery-record" }]
tier = [{ name = "linen-api", kind = [{ name = "large" }, { name = "standard" }, { name = "old" }] }]
`

// foreign returns the names of sites that a Go file holds: distinct ones anywhere but as a part of another word, kinds as a whole text.
func foreign(t *testing.T, file string, distinct *regexp.Regexp, kinds map[string]bool) (found []string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	found = distinct.FindAllString(string(text), -1)
	parsed, err := parser.ParseFile(token.NewFileSet(), file, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if value, err := strconv.Unquote(literal.Value); err == nil && kinds[value] {
				found = append(found, value)
			}
		}
		return true
	})
	return found
}

// TestNoSiteIsNamed: classes, tenants, zones, kinds and tiers come from the settings alone. No site's occur in the programs in service.
func TestNoSiteIsNamed(t *testing.T) {
	variants, err := filepath.Glob(filepath.Join("sites", "*.toml"))
	if err != nil || len(variants) < 2 {
		t.Fatalf("variants %q, error %v", variants, err)
	}
	sites := make([]siteNames, len(variants)+1)
	if _, err := toml.Decode(operators, &sites[0]); err != nil {
		t.Fatal(err)
	}
	for i, file := range variants {
		if _, err := toml.DecodeFile(file, &sites[i+1]); err != nil {
			t.Fatal(err)
		}
	}
	var names []string
	kinds := map[string]bool{}
	for _, s := range sites {
		if len(s.Class) == 0 || len(s.Net.Zones) == 0 || len(s.kinds()) == 0 {
			t.Fatalf("%+v names no classes, zones or kinds", s)
		}
		for _, name := range s.distinct() {
			names = append(names, regexp.QuoteMeta(name))
		}
		for _, name := range s.kinds() {
			kinds[name] = true
		}
	}
	distinct := regexp.MustCompile(`\b(` + strings.Join(names, "|") + `)\b`)
	d, files := read(t), 0
	for _, folder := range append([]string{"balance", "cmd/adapter", "cmd/fleetsidecar", "internal/fleetadapter", "internal/fleet"}, d.Node...) {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ os.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				files++
				for _, name := range foreign(t, path, distinct, kinds) {
					t.Errorf("%s names %q, which is one customer's", path, name)
				}
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 60 {
		t.Errorf("only %d files were looked at", files)
	}
}

// TestForeignNamesAreFound: the check itself finds a distinct name in a comment, a kind as a whole text, and neither in other words.
func TestForeignNamesAreFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.go")
	text := "package x\n\n// As bag-status wants it.\nvar kind, other = \"old\", \"too old for bag-statuses\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	found := foreign(t, file, regexp.MustCompile(`\b(bag-status)\b`), map[string]bool{"old": true})
	if strings.Join(found, " ") != "bag-status old" {
		t.Errorf("found %q", found)
	}
}

// withdrawn are words of our own that gave way to the field's terms. The prefix of deciders' folders is kept, as it is in use.
var withdrawn = regexp.MustCompile(`(?i)\b(chambers?|seats?|rivals?|founders?|founding|councils?)\b([^-]|$)`)

// TestWithdrawnTerms: no withdrawn term is left in code, help or pages.
func TestWithdrawnTerms(t *testing.T) {
	looked := 0
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "bin") {
			return filepath.SkipDir
		}
		own := filepath.Base(path) == "names_test.go"
		if !strings.Contains(" .go .md .toml ", " "+filepath.Ext(path)+" ") || own {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		looked++
		for i, line := range strings.Split(string(text), "\n") {
			if found := withdrawn.FindString(line); found != "" {
				t.Errorf("%s:%d has %q, which is withdrawn", path, i+1, strings.TrimSpace(found))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if looked < 200 {
		t.Errorf("only %d files were looked at", looked)
	}
}

// finished are the packages that were worked through for readers (docs/ROADMAP.md), and houseTerms the words of the
// former house style that no comment or name in them has.
var (
	finished = []string{
		"balance",
		"cmd/adapter",
		"cmd/fleetsidecar",
		"cmd/milletramp",
		"cmd/sidecar",
		"deploy",
		"deploy/sites",
		"internal/admin",
		"internal/chunked",
		"internal/config",
		"internal/discovery",
		"internal/downstream",
		"internal/fleet",
		"internal/fleet/consensus",
		"internal/fleet/failuredetector",
		"internal/fleet/gossip",
		"internal/fleet/membership",
		"internal/fleet/policy",
		"internal/fleet/policyagent",
		"internal/fleet/raftlog",
		"internal/fleet/raftnode",
		"internal/fleet/replication",
		"internal/fleet/transport",
		"internal/fleetadapter",
		"internal/fsys",
		"internal/fsys/faultfs",
		"internal/hotrestart",
		"internal/lab",
		"internal/lab/baseline",
		"internal/lab/checker",
		"internal/lab/fleet/checker",
		"internal/lab/fleet/faultplan",
		"internal/lab/fleet/mutants",
		"internal/lab/fleet/processes",
		"internal/lab/fleet/sim",
		"internal/lab/loopback",
		"internal/lab/record",
		"internal/lab/report",
		"internal/lab/runplan",
		"internal/lab/scale",
		"internal/lab/scenario",
		"internal/lab/servermodel",
		"internal/lab/sim",
		"internal/lab/testrun",
		"internal/lab/testserver",
		"internal/lab/workload",
		"internal/loadlevel",
		"internal/lossdetect",
		"internal/metrics",
		"internal/netretry",
		"internal/proxy",
		"internal/quota",
		"internal/retrybudget",
		"internal/sidecar",
		"internal/standin",
		"internal/standin/mesh",
		"internal/upstream",
		"internal/wallclock",
		"internal/wire",
	}
	houseTerms = regexp.MustCompile(`(?i)\b(danger|staff|told|heard|deciders?|court|owed|doubts?|mayGo|coldRoom|drawTurns|` +
		`turned away|sent on|out by hand|second cop(y|ies)|further tr(y|ies)|thrown out|fail-back|` +
		`whoever|beside|news|referees?|witness(es)?|warmth)\b`)
)

// houseTermsIn returns the withdrawn words in the comments and names of a Go file. Texts stay: some are on the wire.
func houseTermsIn(t *testing.T, file string) (found []string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	for _, group := range parsed.Comments {
		found = append(found, houseTerms.FindAllString(group.Text(), -1)...)
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		if name, ok := n.(*ast.Ident); ok {
			found = append(found, houseTerms.FindAllString(name.Name, -1)...)
		}
		return true
	})
	return found
}

// TestFinishedModules: the packages that were worked through stay free of the former house style.
func TestFinishedModules(t *testing.T) {
	for _, folder := range finished {
		files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: files %q, error %v", folder, files, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			if found := houseTermsIn(t, file); len(found) > 0 {
				t.Errorf("%s has %q, which are withdrawn", file, found)
			}
		}
	}
}

// TestHouseTermsAreFound: the check itself finds a withdrawn word in a comment and as a name, and not in a text.
func TestHouseTermsAreFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.go")
	text := "package x\n\n// Danger: it was told, and turned away.\nvar heard = \"staff\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if found := strings.Join(houseTermsIn(t, file), " "); found != "Danger told turned away heard" {
		t.Errorf("found %q", found)
	}
}
