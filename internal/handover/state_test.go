package handover

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestStateRoundTrip reads what was written.
func TestStateRoundTrip(t *testing.T) {
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

// FuzzDecodeState has no text be read that its own head does not vouch for.
func FuzzDecodeState(f *testing.F) {
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

// TestInvalidStateIsIgnored has a living process leave state that cannot be believed. Danger: half of it is believed.
func TestInvalidStateIsIgnored(t *testing.T) {
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
