package processes

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

const (
	fleetFileName  = "fleet.toml"
	policyFileName = "policy.json"
	configFileName = "config.json"

	filePermissions   = 0o600
	folderPermissions = 0o700
)

// policySettings and readClass are the settings that all configurations and policy documents have in common.
const (
	policySettings = `"limits":{"try_limit":2,"cancelling":true},` +
		`"rules":{"cold_s":0.5,"start_capacity":0.5,"fall_multiple":4,"fall_s":2}`
	readClass = `{"name":"read","effect":"idempotent","aim_s":0.5,"deadline_s":2}`
)

// policyDocument returns the policy document with the given number, counted from 0. Each document has a request class
// of its own.
func policyDocument(number int) []byte {
	return fmt.Appendf(nil, `{%s,"request_classes":[%s,{"name":%q,"effect":"idempotent","aim_s":0.5,"deadline_s":2}]}`,
		policySettings, readClass, documentClass(number))
}

// documentClass returns the name of the request class that exists only in the document with the given number.
func documentClass(number int) string { return fmt.Sprint("p", number) }

func (r *fleetRun) fleetFile() string { return filepath.Join(r.options.Dir, fleetFileName) }

// writeFleetFile writes the fleet settings that all sidecars read, and the first policy document if the fleet has a
// policy.
func (r *fleetRun) writeFleetFile() error {
	var peers []string
	for i := range r.plan.Sidecars {
		peers = append(peers, r.mesh.Outside(i))
	}
	peerList, err := json.Marshal(peers) // a JSON array of strings is also a TOML array
	if err != nil {
		return err
	}
	text := fmt.Sprintf("label = \"lab\"\npeers = %s\n", peerList)
	if r.options.PersistState {
		text += fmt.Sprintf("folder = %q\n", r.options.Dir)
	}
	if r.options.WithPolicy {
		policyFile := filepath.Join(r.options.Dir, policyFileName)
		if err := os.WriteFile(policyFile, policyDocument(0), filePermissions); err != nil {
			return err
		}
		text += fmt.Sprintf("[policy]\ndeciders = [\"n0\", \"n1\", \"n2\"]\nfirst = %q\nfolder = %q\npromise_ms = %d\n",
			policyFileName, r.options.Dir, leaseLength.Milliseconds())
	}
	return os.WriteFile(r.fleetFile(), []byte(text), filePermissions)
}

// writeConfigFile writes the sidecar's configuration.
func (s *sidecar) writeConfigFile(discoveryAddress string, endpoints []byte) error {
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",
		"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":%s,
		"settings":{"ordinal":%d,"peers_total":%d,"my_zone":"a","areas":["a"],"models":["m"],"discovery":"pushed",
		%s,"request_classes":[%s]}}`,
		s.name, s.listenAddress, discoveryAddress, s.run.plan.Seed+uint64(s.index), endpoints,
		s.index, s.run.plan.Sidecars, policySettings, readClass)
	return os.WriteFile(s.configFile, []byte(text), filePermissions)
}
