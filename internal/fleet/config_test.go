package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// policyText is a configuration file with a policy section, in which folder is the last key.
const policyText = "label = \"x\"\n[policy]\ndeciders = [\"a\", \"b\", \"c\"]\nfirst = \"0\"\nfolder = \"x\"\n"

// TestConfigErrorNamesTheKey reads valid and invalid files. The error for an invalid file names the key.
func TestConfigErrorNamesTheKey(t *testing.T) {
	dir := t.TempDir() // the first file is the initial policy of others
	for i, tt := range []struct{ text, key string }{
		{"label = \"x\"\naddress = \"127.0.0.1:7000\"\npeers = [\"127.0.0.1:7001\"]\n[limits]\ncatch_up_ms = 500\n", ""},
		{"label = \"x\"\n", ""},
		{"", "label"},
		{"label = \" x\"\n", "label"},
		{"label = \"x\"\naddress = \"[::1]:7000\"\n", "address"},
		{"label = \"x\"\naddress = \"0.0.0.0:7000\"\n", "address"},
		{"label = \"x\"\npeers = [\"127.0.0.1\"]\n", "peers[0]"},
		{"label = \"x\"\npeers = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n", "peers[1]"},
		{"label = \"x\"\n[limits]\ncatch_up_ms = 5\n", "limits.catch_up_ms"},
		{"label = \"x\"\npears = []\n", "pears"},
		{"label = \"x\"\n[limits]\ncatch_up = 5\n", "limits.catch_up"},
		{"label = \n", "label"},
		{policyText, ""},
		{strings.Replace(policyText, ", \"c\"", "", 1), "policy.deciders"},
		{strings.Replace(policyText, "\"c\"", "\"b\"", 1), "policy.deciders[2]"},
		{strings.Replace(policyText, "\"0\"", "\"none\"", 1), "policy.first"},
		{strings.Replace(policyText, "folder = \"x\"\n", "", 1), "policy.folder"},
		{policyText + "promise_ms = 9\n", "policy.promise_ms"},
	} {
		path := filepath.Join(dir, fmt.Sprint(i))
		if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadConfig(path)
		if (err == nil) != (tt.key == "") || err != nil && !strings.Contains(err.Error(), tt.key) {
			t.Errorf("%q: error %v, want one that names %q", tt.text, err, tt.key)
		}
	}
}

// TestEnvironmentOverridesAddress checks that there is no fleet without a file, and that a file without an address needs
// one from the environment.
func TestEnvironmentOverridesAddress(t *testing.T) {
	environment := map[string]string{}
	getenv := func(key string) string { return environment[key] }
	if c, err := FromEnvironment(getenv); c != nil || err != nil {
		t.Errorf("%+v, error %v with no file named", c, err)
	}
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte("label = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	environment[configVariable] = path
	if _, err := FromEnvironment(getenv); err == nil {
		t.Error("missing address accepted")
	}
	environment[addressVariable] = "127.0.0.1:7009"
	if c, err := FromEnvironment(getenv); err != nil || c.Address != "127.0.0.1:7009" {
		t.Errorf("%+v, error %v", c, err)
	}
}
