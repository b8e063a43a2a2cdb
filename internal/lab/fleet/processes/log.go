package processes

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"

	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// operatorCallLine matches the log line that a sidecar writes when it accepts an operator's call.
var operatorCallLine = regexp.MustCompile(`msg="by hand".* server=(\S+) out=(\S+) call=(\S+) replaces=(\S*)`)

// readLog reads a process's log to its end and records the operators' calls in it.
func (s *sidecar) readLog(log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		line := lines.Text()
		if s.run.options.Log != nil {
			fmt.Fprintf(s.run.options.Log, "%7.2f %s %s\n", s.run.clock.now().Seconds(), s.name, line)
		}
		if call, ok := parseOperatorCall(line); ok {
			s.run.recorder.addOperatorCall(call)
		}
	}
}

// parseOperatorCall returns the operator's call in a log line; At is not set. ok is false if the line reports no call.
func parseOperatorCall(line string) (call checker.OperatorCall, ok bool) {
	fields := operatorCallLine.FindStringSubmatch(line)
	if fields == nil {
		return call, false
	}
	server, out, id, replaced := fields[1], fields[2], fields[3], strings.Trim(fields[4], `"`)
	call = checker.OperatorCall{Server: server, Down: out == "true", ID: callID(server, id)}
	if replaced == "" {
		return call, true
	}
	for _, id := range strings.Split(replaced, ",") {
		call.KnownCalls = append(call.KnownCalls, callID(server, id))
	}
	return call, true
}

// callID returns an id that is unique in the run: an incarnation numbers its calls for each server separately.
func callID(server, id string) string { return server + "/" + id }
