package hotrestart

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
	"time"
)

// Phase is the stage of a process in its lifecycle.
type Phase string

// Phases of a process.
const (
	Starting Phase = "starting" // not yet ready to serve
	Ready    Phase = "ready"    // serves requests
	Draining Phase = "draining" // is shutting down and completes its requests
)

// State is the state that a process publishes to the other processes of its sidecar.
type State struct {
	Name          string    `json:"name"`            // name of the sidecar
	ListenAddress string    `json:"listen"`          // address for clients
	AdminAddress  string    `json:"console"`         // address for operators; "": none
	FleetAddress  string    `json:"fleet,omitempty"` // address for other sidecars; "": not part of a fleet
	Started       time.Time `json:"started"`
	// Generation is one more than the highest generation of the other processes when the process joined. The first
	// generation is 1, and 0 means that the build of the process does not support generations.
	Generation uint64   `json:"generation,omitempty"`
	Phase      Phase    `json:"phase"`
	AdminDown  []string `json:"out"` // IDs of the servers that are administratively down
	// Usage is what the process uses of the sidecar's limits. Nil means that it has not published it, or that its build
	// does not.
	Usage *Usage `json:"usage,omitempty"`
}

// Usage is what a process uses of the limits that all processes of a sidecar share.
type Usage struct {
	ClientConns   int `json:"client_conns"`   // open connections from clients
	UpstreamConns int `json:"upstream_conns"` // open connections to servers
	Requests      int `json:"requests"`       // requests in flight
}

// Compare orders the processes of a sidecar, the oldest first. The wall clock may step, so start times are compared
// only if one of the two processes has no generation, or if both joined at the same moment and have the same
// generation.
func (s State) Compare(other State) int {
	if s.Generation > 0 && other.Generation > 0 && s.Generation != other.Generation {
		return cmp.Compare(s.Generation, other.Generation)
	}
	return s.Started.Compare(other.Started)
}

// A state file consists of one header line, "MAGIC VERSION LENGTH CHECKSUM", and the state as JSON. LENGTH is the
// number of bytes of the JSON, and CHECKSUM is its CRC-32 (IEEE) as eight hexadecimal digits.
const (
	formatMagic   = "milletramp-handover"
	formatVersion = 1
	headerFields  = 4

	maxStateBytes = 1 << 20 // maximum size of a state file
	maxAdminDown  = 4096    // maximum number of servers in one state
)

// encodeState returns the content of a state file.
func encodeState(s State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	header := fmt.Sprintf("%s %d %d %s\n", formatMagic, formatVersion, len(body), checksum(body))
	return append([]byte(header), body...), nil
}

func checksum(body []byte) string { return fmt.Sprintf("%08x", crc32.ChecksumIEEE(body)) }

// decodeState decodes the content of a state file, which must belong to the sidecar with this name and listen address.
// The error is always an *invalidStateError.
func decodeState(content []byte, name, listen string) (State, error) {
	if len(content) > maxStateBytes {
		return State{}, invalidStatef(tooLong, "has more than %d bytes", maxStateBytes)
	}
	body, err := checkHeader(content)
	if err != nil {
		return State{}, err
	}
	var s State
	if err := json.Unmarshal(body, &s); err != nil {
		return State{}, invalidStatef(malformedJSON, "is not valid JSON: %v", err)
	}
	switch {
	case s.Name != name || s.ListenAddress != listen:
		return State{}, invalidStatef(otherSidecar, "belongs to sidecar %.40q at %.40q", s.Name, s.ListenAddress)
	case s.Phase != Starting && s.Phase != Ready && s.Phase != Draining:
		return State{}, invalidStatef(unknownPhase, "has unknown phase %.40q", s.Phase)
	case len(s.AdminDown) > maxAdminDown:
		return State{}, invalidStatef(tooManyServers, "has %d servers, the limit is %d", len(s.AdminDown), maxAdminDown)
	}
	return s, nil
}

// checkHeader validates the header of a state file and returns the body. The header must have this version and match
// the body.
func checkHeader(content []byte) (body []byte, err error) {
	header, body, complete := bytes.Cut(content, []byte("\n"))
	fields := strings.Fields(string(header))
	if !complete || len(fields) != headerFields || fields[0] != formatMagic {
		return nil, invalidStatef(notStateFile, "is not a sidecar state file")
	}
	version, length, sum := fields[1], fields[2], fields[3]
	switch {
	case version != strconv.Itoa(formatVersion):
		return nil, invalidStatef(unsupportedVersion, "has version %.20q, this process supports %d",
			version, formatVersion)
	case length != strconv.Itoa(len(body)):
		return nil, invalidStatef(lengthMismatch, "has a body of %d bytes, its header has length %.20q",
			len(body), length)
	case sum != checksum(body):
		return nil, invalidStatef(checksumMismatch, "has checksum %s, its header has %.20q", checksum(body), sum)
	}
	return body, nil
}
