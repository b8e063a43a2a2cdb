package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestStateRoundTrip checks that decodeState returns the state that was passed to encodeState.
func TestStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Name: rapid.String().Draw(t, "name"), ListenAddress: rapid.String().Draw(t, "listen"), Phase: Ready,
			AdminAddress: "c", AdminDown: rapid.SliceOf(rapid.String()).Draw(t, "out")}
		content, err := encodeState(s)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeState(content, s.Name, s.ListenAddress)
		if err != nil || !slices.Equal(got.AdminDown, s.AdminDown) ||
			got.Phase != s.Phase || got.AdminAddress != s.AdminAddress {
			t.Fatalf("%+v was decoded as %+v, error %v", s, got, err)
		}
	})
}

// FuzzDecodeState checks that accepted content belongs to this sidecar, is within the limits and begins with the magic
// of the format.
func FuzzDecodeState(f *testing.F) {
	valid, err := encodeState(startingState(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(formatMagic + " 1 0 00000000\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := decodeState(content, "n0", "127.0.0.1:80")
		hasMagic := bytes.HasPrefix(content, []byte(formatMagic))
		if err == nil && (s.Name != "n0" || len(s.AdminDown) > maxAdminDown || !hasMagic) {
			t.Errorf("%q is decoded as %+v", content, s)
		}
	})
}

// TestInvalidStateFileIsIgnored checks that an invalid state file of a running process is ignored completely, that the
// reason is logged, and that the error contains the reason.
func TestInvalidStateFileIsIgnored(t *testing.T) {
	valid, err := encodeState(startingState(1))
	if err != nil {
		t.Fatal(err)
	}
	withHeader := func(version int, body string) []byte {
		sum := crc32.ChecksumIEEE([]byte(body))
		return fmt.Appendf(nil, "%s %d %d %08x\n%s", formatMagic, version, len(body), sum, body)
	}
	otherAddress := startingState(1)
	otherAddress.ListenAddress = "127.0.0.1:90"
	otherSidecarContent, err := encodeState(otherAddress)
	if err != nil {
		t.Fatal(err)
	}
	corrupted := bytes.Clone(valid)
	corrupted[len(corrupted)-3] ^= 1
	unknownPhaseJSON := `{"name":"n0","listen":"127.0.0.1:80","phase":"asleep"}`
	tooManyServersJSON := `{"name":"n0","listen":"127.0.0.1:80","phase":"ready","out":["` +
		strings.Repeat(`","`, maxAdminDown) + `"]}`
	for _, tt := range []struct {
		name    string
		content []byte
		logged  string
		reason  invalidReason // 0: valid
	}{
		{"valid", valid, "", 0},
		{"empty", nil, "is not a sidecar state file", notStateFile},
		{"truncated", valid[:len(valid)-5], "bytes, its header has length", lengthMismatch},
		{"truncated in the header", valid[:10], "is not a sidecar state file", notStateFile},
		{"corrupted", corrupted, "checksum", checksumMismatch},
		{"of another sidecar", otherSidecarContent, "belongs to sidecar", otherSidecar},
		{"of a newer version", withHeader(formatVersion+1, `{}`), "has version", unsupportedVersion},
		{"truncated JSON", withHeader(formatVersion, `{`), "unexpected end", malformedJSON},
		{"with an unknown phase", withHeader(formatVersion, unknownPhaseJSON), "unknown phase", unknownPhase},
		{"with too many servers", withHeader(formatVersion, tooManyServersJSON), "servers", tooManyServers},
		{"too long", make([]byte, maxStateBytes+1), "more than", tooLong},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			owner := mustJoin(t, dir, startingState(1), discardLog())
			if err := os.WriteFile(owner.files.statePath(), tt.content, 0o600); err != nil {
				t.Fatal(err)
			}
			var log bytes.Buffer
			got := mustJoin(t, dir, startingState(2), slog.New(slog.NewTextHandler(&log, nil))).Others()
			if (len(got) == 1) != (tt.logged == "") || !strings.Contains(log.String(), tt.logged) {
				t.Errorf("the other process reads %+v and logs %q, want %q", got, log.String(), tt.logged)
			}
			_, err := readStateFile(owner.files.statePath(), "n0", "127.0.0.1:80")
			var invalidState *invalidStateError
			var reason invalidReason
			if errors.As(err, &invalidState) {
				reason = invalidState.reason
			}
			if reason != tt.reason || (err == nil) != (tt.reason == 0) {
				t.Errorf("error %v, want reason %d", err, tt.reason)
			}
		})
	}
}
