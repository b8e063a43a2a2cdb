package handover

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func startingState(second int64) State {
	return State{Name: "n0", Listen: "127.0.0.1:80", Console: "127.0.0.1:81", Started: time.Unix(second, 0), Phase: Starting}
}

func mustJoin(t *testing.T, dir string, s State, log *slog.Logger) *Member {
	t.Helper()
	m, err := Join(dir, s, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Leave() }) // the test may have had it leave
	return m
}

// TestMembers has processes come, change and go. A lock is held by an open file, so those of this test count as apart.
func TestMembers(t *testing.T) {
	dir := t.TempDir()
	a := mustJoin(t, dir, startingState(1), discardLog())
	if got := a.Others(); len(got) != 0 {
		t.Fatalf("alone, it sees %+v", got)
	}
	before := a.Changed()
	b := mustJoin(t, dir, startingState(2), discardLog())
	if a.Changed() == before {
		t.Error("a process came and nothing changed")
	}
	if err := b.Update(func(s *State) { s.Phase, s.Out = Ready, []string{"s-1"} }); err != nil {
		t.Fatal(err)
	}
	c := mustJoin(t, dir, startingState(3), discardLog())
	got := c.Others()
	if len(got) != 2 || !got[0].Started.Equal(startingState(1).Started) || got[1].Phase != Ready || !slices.Equal(got[1].Out, []string{"s-1"}) {
		t.Errorf("the third sees %+v", got)
	}
	if err := b.Leave(); err != nil {
		t.Error(err)
	}
	if got := c.Others(); len(got) != 1 {
		t.Errorf("after one left the third sees %+v", got)
	}
	if got := mustJoin(t, dir, State{Name: "n1", Listen: "127.0.0.1:80", Phase: Ready}, discardLog()).Others(); len(got) != 0 {
		t.Errorf("another sidecar sees %+v", got)
	}
}

// TestDeadStateDoesNotBind has a process end without leaving. Danger: servers that it was told are out, long ago, would
// be out for good.
func TestDeadStateDoesNotBind(t *testing.T) {
	dir := t.TempDir()
	dead := mustJoin(t, dir, startingState(1), discardLog())
	if err := dead.Update(func(s *State) { s.Out = []string{"s-1"} }); err != nil {
		t.Fatal(err)
	}
	if err := dead.lockFile.Close(); err != nil { // as the end of its process does
		t.Fatal(err)
	}
	var log bytes.Buffer
	m := mustJoin(t, dir, startingState(2), slog.New(slog.NewTextHandler(&log, nil)))
	if got := m.Others(); len(got) != 0 || !strings.Contains(log.String(), "has ended") {
		t.Errorf("it sees %+v and says %q", got, log.String())
	}
	if left, err := os.ReadDir(m.files.dir); err != nil || len(left) != 2 {
		t.Errorf("%d files are left, error %v, want its own 2", len(left), err)
	}
}

// TestBadStateIsDropped has a living process leave state that cannot be believed. Danger: half of it is believed.
func TestBadStateIsDropped(t *testing.T) {
	good, err := encodeState(startingState(1))
	if err != nil {
		t.Fatal(err)
	}
	made := func(version int, body string) []byte {
		return fmt.Appendf(nil, "%s %d %d %08x\n%s", formatMagic, version, len(body), crc32.ChecksumIEEE([]byte(body)), body)
	}
	foreign := startingState(1)
	foreign.Listen = "127.0.0.1:90"
	other, err := encodeState(foreign)
	if err != nil {
		t.Fatal(err)
	}
	flipped := bytes.Clone(good)
	flipped[len(flipped)-3] ^= 1
	many := `{"name":"n0","listen":"127.0.0.1:80","phase":"ready","out":["` + strings.Repeat(`","`, maxAdminDown) + `"]}`
	for _, tt := range []struct {
		name string
		text []byte
		says string
	}{
		{"good", good, ""},
		{"empty", nil, "is no state"},
		{"torn", good[:len(good)-5], "bytes, its head says"},
		{"torn in its head", good[:10], "is no state"},
		{"changed", flipped, "checksum"},
		{"foreign", other, "is of sidecar"},
		{"newer", made(formatVersion+1, `{}`), "is of version"},
		{"no JSON", made(formatVersion, `{`), "unexpected end"},
		{"an unknown phase", made(formatVersion, `{"name":"n0","listen":"127.0.0.1:80","phase":"asleep"}`), "unknown phase"},
		{"too many servers", made(formatVersion, many), "servers"},
		{"too long", make([]byte, maxStateBytes+1), "more than"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			a := mustJoin(t, dir, startingState(1), discardLog())
			if err := os.WriteFile(a.files.statePath(), tt.text, 0o600); err != nil {
				t.Fatal(err)
			}
			var log bytes.Buffer
			got := mustJoin(t, dir, startingState(2), slog.New(slog.NewTextHandler(&log, nil))).Others()
			if (len(got) == 1) != (tt.says == "") || !strings.Contains(log.String(), tt.says) {
				t.Errorf("it sees %+v and says %q, want %q", got, log.String(), tt.says)
			}
		})
	}
}

// TestNobodyToJoin has no folder to share.
func TestNobodyToJoin(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if m, err := Join(file, startingState(1), discardLog()); err == nil {
		t.Errorf("joined %+v in a file", m)
	}
	var none *Member
	if err := none.Update(func(*State) { t.Error("there is no state") }); err != nil || none.Others() != nil || none.Leave() != nil {
		t.Error("no member is not alone")
	}
}

// TestStateComesBack reads what was written.
func TestStateComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Name: rapid.String().Draw(t, "name"), Listen: rapid.String().Draw(t, "listen"), Phase: Ready,
			Console: "c", Out: rapid.SliceOf(rapid.String()).Draw(t, "out")}
		text, err := encodeState(s)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeState(text, s.Name, s.Listen)
		if err != nil || !slices.Equal(got.Out, s.Out) || got.Phase != s.Phase || got.Console != s.Console {
			t.Fatalf("%+v came back as %+v, error %v", s, got, err)
		}
	})
}

// FuzzDecode has no text be read that its own head does not vouch for.
func FuzzDecode(f *testing.F) {
	good, err := encodeState(startingState(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(formatMagic + " 1 0 00000000\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := decodeState(text, "n0", "127.0.0.1:80")
		if err == nil && (s.Name != "n0" || len(s.Out) > maxAdminDown || !bytes.HasPrefix(text, []byte(formatMagic))) {
			t.Errorf("%q is read as %+v", text, s)
		}
	})
}

// TestOrderUnderClockSteps has processes follow each other while the clock of day steps: each takes those before it for
// older. One of a build that does not count generations goes by the clock, as it always did, and its file is read.
func TestOrderUnderClockSteps(t *testing.T) {
	const former = `{"name":"n0","listen":"127.0.0.1:80","console":"127.0.0.1:81",` +
		`"started":"2026-01-02T03:04:05.000000006Z","phase":"ready","out":[]}`
	begun := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			dir := t.TempDir()
			ready := func(started time.Time) *Member {
				s := startingState(0)
				s.Started, s.Phase = started, Ready
				return mustJoin(t, dir, s, discardLog())
			}
			a := ready(begun)
			b := ready(begun.Add(time.Second + step))
			c := ready(begun.Add(2*time.Second + 2*step))
			if !a.Succeeded() || !b.Succeeded() || c.Succeeded() {
				t.Errorf("succeeded: %v, %v and %v, want all but the last", a.Succeeded(), b.Succeeded(), c.Succeeded())
			}
			if got := c.Others(); len(got) != 2 || got[0].Compare(a.state) != 0 || got[1].Compare(b.state) != 0 {
				t.Errorf("the last one sees %+v", got)
			}
			if err := a.Leave(); err != nil {
				t.Error(err)
			}
			sum := crc32.ChecksumIEEE([]byte(former))
			text := fmt.Appendf(nil, "%s %d %d %08x\n%s", formatMagic, formatVersion, len(former), sum, former)
			if err := os.WriteFile(b.files.statePath(), text, 0o600); err != nil {
				t.Fatal(err)
			}
			got, succeeded := c.Others(), c.Succeeded()
			if len(got) != 1 || got[0].Generation != 0 || !got[0].Started.Equal(begun) || succeeded != (step < 0) {
				t.Errorf("beside one that does not count it sees %+v, succeeded %v", got, succeeded)
			}
		})
	}
}
