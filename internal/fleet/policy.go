package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletramp.example/milletramp/internal/fleet/policy"
	"milletramp.example/milletramp/internal/fleet/policyagent"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// raftFolderFormat is the format of the name of a voter's folder, with the hash of the sidecar's name.
const raftFolderFormat = "council-%016x"

// PolicyConfig is the section of the configuration file for the fleet's policy.
type PolicyConfig struct {
	Voters            []string `toml:"deciders"`   // names of three or five sidecars
	InitialPolicyFile string   `toml:"first"`      // holds the policy in force before any change
	RaftFolder        string   `toml:"folder"`     // parent of each voter's own folder; must persist across restarts
	LeaseMS           int      `toml:"promise_ms"` // the length of a lease; 0: the default of 3000
	ServeWithoutLease bool     `toml:"serve_on"`   // a sidecar without a lease serves under its last policy

	initialPolicy []byte
}

// Terms returns the lease terms.
func (p *PolicyConfig) Terms() policy.Terms {
	terms := policy.DefaultTerms
	if p.LeaseMS > 0 {
		terms.Length = time.Duration(p.LeaseMS) * time.Millisecond
		terms.ShortLength = min(terms.ShortLength, terms.Length/4)
	}
	return terms
}

// load validates the settings and reads the initial policy, whose path may be relative to dir.
func (p *PolicyConfig) load(dir string) (err error) {
	if len(p.Voters) != 3 && len(p.Voters) != 5 {
		return fmt.Errorf("policy.deciders: %d names, three or five are needed", len(p.Voters))
	}
	for i, name := range p.Voters {
		if name == "" || slices.Contains(p.Voters[:i], name) {
			return fmt.Errorf("policy.deciders[%d]: %q is empty or given twice", i, name)
		}
	}
	if p.RaftFolder == "" {
		return errors.New("policy.folder: missing")
	}
	if err := p.Terms().Check(); p.LeaseMS < 0 || err != nil {
		return fmt.Errorf("policy.promise_ms: %d: %w", p.LeaseMS, err)
	}
	path := p.InitialPolicyFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	if p.initialPolicy, err = os.ReadFile(path); err != nil {
		return fmt.Errorf("policy.first: %w", err)
	}
	return nil
}

// agentSettings returns the settings of this sidecar's policy agent.
func (p *PolicyConfig) agentSettings(name string, incarnationNumber uint64) policyagent.Settings {
	return policyagent.Settings{
		Name:              name,
		Incarnation:       incarnationNumber,
		Voters:            p.Voters,
		InitialPolicy:     p.initialPolicy,
		Folder:            filepath.Join(p.RaftFolder, fmt.Sprintf(raftFolderFormat, xxhash.Sum64String(name))),
		Terms:             p.Terms(),
		ServeWithoutLease: p.ServeWithoutLease,
	}
}

// startAgent starts this sidecar's policy agent. The loop must be running.
func (f *Fleet) startAgent(p *PolicyConfig, name string, incarnationNumber uint64, log *slog.Logger) (err error) {
	settings := p.agentSettings(name, incarnationNumber)
	settings.Check = f.callbacks.CheckPolicy
	if f.agent, err = policyagent.Start(settings, f, log); err != nil {
		return err
	}
	f.transport.SetCallHandler(f.agent)
	raise := f.agent.RaiseIncarnation
	f.events <- func(replication.Now) { f.raiseIncarnation = raise }
	return nil
}

// Policy returns this sidecar's policy agent, or nil if the configuration file has no policy section.
func (f *Fleet) Policy() *policyagent.Agent { return f.agent }

// Call implements policyagent.Peers.
func (f *Fleet) Call(ctx context.Context, name string, text []byte) ([]byte, error) {
	var address string
	if err := f.call(ctx, func(replication.Now) { address = f.addressOf(name) }); err != nil {
		return nil, err
	}
	if address == "" {
		return nil, fmt.Errorf("fleet: %s is not there", name)
	}
	return f.transport.Call(ctx, address, text)
}
