package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// kitFolder returns a folder with the kit's files but one.
func kitFolder(t *testing.T, without string) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range kitFiles {
		if name != without {
			write(t, filepath.Join(folder, name), name)
		}
	}
	return folder
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestLay lays the files beside the variants of the repository, and turns down a kit that lacks any of them.
func TestLay(t *testing.T) {
	variants, err := filepath.Glob("*.toml")
	if err != nil || len(variants) < 2 {
		t.Fatalf("variants %q, error %v", variants, err)
	}
	to := t.TempDir()
	for _, variant := range variants {
		text, err := os.ReadFile(variant)
		if err != nil {
			t.Fatal(err)
		}
		write(t, filepath.Join(to, variant), string(text))
	}
	for _, missing := range kitFiles {
		if err := lay(kitFolder(t, missing), to); !errors.Is(err, errNoKit) || !strings.Contains(err.Error(), missing) {
			t.Errorf("error %v of a kit without %s", err, missing)
		}
		if laid, _ := filepath.Glob(filepath.Join(to, "*.json")); len(laid) > 0 {
			t.Errorf("%q were laid of a kit without %s", laid, missing)
		}
	}
	if err := lay(kitFolder(t, ""), to); err != nil {
		t.Fatal(err)
	}
	for _, name := range kitFiles {
		if text, err := os.ReadFile(filepath.Join(to, name)); err != nil || string(text) != name {
			t.Errorf("%s: %q, error %v", name, text, err)
		}
	}
}

// TestUnknownKeys: a key that no site's file has is named.
func TestUnknownKeys(t *testing.T) {
	for _, tt := range []struct{ text, key string }{
		{"name = \"x\"\ncolour = 1", "colour"},
		{"[day]\nhours = 1", "day.hours"},
		{"[[class]]\nname = \"a\"\n[[class]]\neffort = 1", "class.effort"},
		{"[[tier]]\nname = \"a\"\n[[tier.kind]]\nwheels = 4", "tier.kind.wheels"},
		{"[weather]\nrain = true", "weather"},
		{"day = 1", "day"},
	} {
		to := t.TempDir()
		write(t, filepath.Join(to, "x.toml"), tt.text)
		if err := lay(kitFolder(t, ""), to); !errors.Is(err, errUnknownKey) || !strings.HasSuffix(err.Error(), " "+tt.key) {
			t.Errorf("%q: error %v, want one that names %s", tt.text, err, tt.key)
		}
	}
	if err := lay(kitFolder(t, ""), t.TempDir()); err == nil {
		t.Error("a folder without variants passed")
	}
}
