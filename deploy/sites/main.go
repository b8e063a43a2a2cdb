// Command sites lays what a play of the variants of the site needs next to them: the files of names of the operators'
// kit, which do not go into the repository. It checks the variants first.
//
//	go run ./deploy/sites [-kit FOLDER] [-to FOLDER]
package main

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// kitFiles are those that have to lie next to a variant.
var kitFiles = []string{"real.json", "wire.json", "unlock.txt"}

// knownKeys are the keys of each table of a site's file. A key that no table has would be passed over in silence, or
// end a play midway.
var knownKeys = map[string]string{
	"":            "name family wire",
	"day":         "length_s tick_ms max_requests troubles in_step start_spread_ms",
	"scale":       "servers balancers big_servers big_balancers twin_servers twin_balancers",
	"load":        "quiet trouble overload big shape swing zone_skew stream_cv keys key_zipf hints worth_by",
	"net":         "zones same_ms cross_ms client_ms jitter server_skew",
	"front":       "entry",
	"clients":     "retries try_share backoff honour backoff_ms max_retry_after_ms impatient marks_retry",
	"discovery":   "mode notice_s silent_notice_s add_s period_ms spread_ms",
	"allow":       "probes peers cancel second_copies retry_after max_attempts cpu_ms_per_s cpu_us_per_request",
	"rules":       "drain_grace_ms fall_multiple fall_ms",
	"goal":        "whole worst_window worst_class worst_tenant",
	"prices":      "cross_zone waste probe peer late_fail",
	"tier":        "name cell_size weights",
	"tier.report": "how fields period_ms delay_ms noise",
	"tier.conn":   "streams handshake_rtts handshake_us idle_s connect_timeout_ms cap_per_core full_tax",
	"tier.probe":  "work_us cap_per_core deep timeout_ms",
	"tier.kind": "name share cores speed speed_cv slots_per_core queue_per_core thrash thrash_at " +
		"cold_from cold_s warm_by " +
		"pause_every_s pause_ms pause_grow error_rate cancel drops_expired",
	"tier.choke": "share at over_s slower rest_s below most_s price",
	"class":      "name share work_ms dist cv attempt_noise aim_ms deadline_ms worth late_worth effect group window_ms",
	"trouble":    "name len_s part size extra",
	"fam":        "affinity_gain affinity_s affinity_keys_per_core",
}

var (
	errNoKit      = errors.New("the kit lacks a file")
	errUnknownKey = errors.New("unknown key")
)

func main() {
	kit := flag.String("kit", filepath.Join("..", "given", "kit", "sites"), "the folder of the operators' sites")
	to := flag.String("to", filepath.Join("deploy", "sites"), "the folder of the variants")
	flag.Parse()
	if err := lay(*kit, *to); err != nil {
		fmt.Fprintln(os.Stderr, "sites:", err)
		os.Exit(1)
	}
}

// lay checks all variants in a folder and copies the kit's files next to them. With an error, nothing was copied.
func lay(kit, to string) error {
	variants, err := filepath.Glob(filepath.Join(to, "*.toml"))
	if err != nil {
		return err
	}
	if len(variants) == 0 {
		return fmt.Errorf("%s: no variant", to)
	}
	for _, variant := range variants {
		if err := check(variant); err != nil {
			return err
		}
	}
	texts := map[string][]byte{}
	for _, name := range kitFiles {
		text, err := os.ReadFile(filepath.Join(kit, name))
		if errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("%w: %s", errNoKit, filepath.Join(kit, name))
		}
		if err != nil {
			return err
		}
		texts[name] = text
	}
	for name, text := range texts {
		if err := os.WriteFile(filepath.Join(to, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error where a variant cannot be parsed or has a key that is not known.
func check(variant string) error {
	var file map[string]any
	if _, err := toml.DecodeFile(variant, &file); err != nil {
		return fmt.Errorf("%s: %w", variant, err)
	}
	if err := checkTable("", file); err != nil {
		return fmt.Errorf("%s: %w", variant, err)
	}
	return nil
}

// checkTable checks the keys of a table and of those in it.
func checkTable(path string, table map[string]any) error {
	known := strings.Fields(knownKeys[path])
	for _, key := range slices.Sorted(maps.Keys(table)) {
		below := strings.TrimPrefix(path+"."+key, ".")
		var inner []map[string]any
		switch value := table[key].(type) {
		case map[string]any:
			inner = append(inner, value)
		case []map[string]any:
			inner = value
		default:
			if !slices.Contains(known, key) {
				return fmt.Errorf("%w %s", errUnknownKey, below)
			}
			continue
		}
		if knownKeys[below] == "" {
			return fmt.Errorf("%w %s", errUnknownKey, below)
		}
		for _, t := range inner {
			if err := checkTable(below, t); err != nil {
				return err
			}
		}
	}
	return nil
}
