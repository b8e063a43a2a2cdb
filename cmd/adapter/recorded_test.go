package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// record makes TestRecordedReplies play its scenarios anew and write their events and both hashes of the replies to
// testdata. Use it only for changes that are meant to change decisions.
var record = flag.Bool("record", false, "record the events and the hashes of the replies anew")

// recordLogs makes TestRecordedReplies write the hash of the log texts to testdata, if the decisions are unchanged. Use
// it for changes that are meant to change log texts and no decisions.
var recordLogs = flag.Bool("record-logs", false, "record only the hash of the log texts anew")

// scenario is a deployment with the load and the faults during its recording.
type scenario struct {
	name     string
	settings string
	servers  int
	seconds  float64
	rate     float64 // requests per second
	// faults sets the faults of the servers at the start of each second.
	faults func(r *recorder, second int)
}

// commonSettings are shared by the scenarios: three classes, one per effect, and two tenants.
const commonSettings = "areas=north,south\tmodels=big,small\tmy_zone=north\ttier=0\ttiers=back\t" +
	"rules.cold_s=6\trules.start_capacity=0.3\trules.fall_multiple=3\trules.fall_s=1\tcharges.cross_zone=0.03\t" +
	"tenants.count=2\ttenants.0.name=inside\ttenants.0.allowance_per_s=400\ttenants.1.name=beyond\ttenants.1.allowance_per_s=4\t" +
	"request_classes.count=3\t" +
	"request_classes.0.name=read\trequest_classes.0.effect=idempotent\trequest_classes.0.aim_s=0.3\t" +
	"request_classes.0.deadline_s=2\trequest_classes.0.credit=1\trequest_classes.0.late_value=0.4\t" +
	"request_classes.1.name=write\trequest_classes.1.effect=deduplicated\trequest_classes.1.group=zone\t" +
	"request_classes.1.window_s=0.6\trequest_classes.1.aim_s=0.4\trequest_classes.1.deadline_s=2.5\trequest_classes.1.credit=3\t" +
	"request_classes.2.name=pay\trequest_classes.2.effect=at_most_once\trequest_classes.2.aim_s=0.5\t" +
	"request_classes.2.deadline_s=3\trequest_classes.2.credit=5\t"

var scenarios = []scenario{
	{name: "few", servers: 6, seconds: 25, rate: 30,
		settings: "ordinal=0\tpeers_total=1\tdiscovery=pushed\tlimits.try_limit=3\t" + commonSettings,
		faults: func(r *recorder, second int) {
			r.servers[0].failing = second >= 5 && second < 10
			r.servers[2].silent = second >= 12 && second < 15
			for _, s := range r.servers { // overload all servers
				s.slow = 1
				if second >= 18 && second < 21 {
					s.slow = 15
				}
			}
		}},
	{name: "polled", servers: 40, seconds: 25, rate: 40,
		settings: "ordinal=5\tpeers_total=12\tdiscovery=on_request\tlimits.try_limit=4\tlimits.cancelling=1\t" +
			"limits.second_copies=1\trules.must_ask_in_s=6\t" + commonSettings,
		faults: func(r *recorder, second int) {
			for _, s := range r.servers[:14] {
				s.slow = 1
				if second >= 6 && second < 12 {
					s.slow = 8
				}
			}
			r.servers[16].silent = second >= 14 && second < 18
			r.servers[18].failing = second >= 16
			if second == 20 {
				r.change(r.servers[20], "cordoned")
			}
		}},
	{name: "rolling", servers: 200, seconds: 25, rate: 40,
		settings: "ordinal=17\tpeers_total=300\tdiscovery=pushed\tlimits.try_limit=3\tlimits.cancelling=1\t" +
			"limits.second_copies=1\t" + commonSettings,
		faults: func(r *recorder, second int) {
			for i := range r.servers {
				if second >= 4 && i%20 == second-4 {
					r.change(r.servers[i], "deregistered")
					r.add("north")
				}
			}
		}},
}

// TestRecordedReplies replays recorded events against the adapter, for several deployments: the replies are byte for
// byte those of the recording. The decisions and the texts of the log lines are compared separately.
func TestRecordedReplies(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			events := filepath.Join("testdata", s.name+".events")
			if *record {
				writeFile(t, events, recordEvents(t, s))
			}
			input, err := os.ReadFile(events)
			if err != nil {
				t.Fatal(err)
			}
			var replies bytes.Buffer // complete before it is split into lines, as run may write parts of lines
			if err := run(bytes.NewReader(input), &replies); err != nil {
				t.Fatal(err)
			}
			decisions, logs := splitReplies(replies.Bytes())
			compareHash(t, "decisions", filepath.Join("testdata", s.name+".decisions.sha256"), decisions, *record)
			compareHash(t, "log texts", filepath.Join("testdata", s.name+".logs.sha256"), logs,
				*record || *recordLogs && !t.Failed())
			if lines := bytes.Count(input, []byte("YOUR_TURN\n")); lines < 1000 {
				t.Errorf("%d batches of events, want 1000 or more", lines)
			}
		})
	}
}

// logPrefix begins the line of a log action. The log text follows.
const logPrefix = "JOURNAL_LINE\t"

// splitReplies separates the texts of the log lines from the rest of the replies. The decisions are the replies byte
// for byte, but with empty log texts: the count, the place and the order of the log lines remain. The logs are the
// texts in their order, each followed by a newline. Together they determine the replies.
func splitReplies(replies []byte) (decisions, logs []byte) {
	for line := range bytes.Lines(replies) {
		text, isLog := bytes.CutPrefix(line, []byte(logPrefix))
		if !isLog {
			decisions = append(decisions, line...)
			continue
		}
		decisions = append(decisions, logPrefix...)
		text, ended := bytes.CutSuffix(text, []byte("\n"))
		if ended {
			decisions = append(decisions, '\n')
		}
		logs = append(append(logs, text...), '\n')
	}
	return decisions, logs
}

// compareHash reports an error if the hash of the content differs from the one in the file. With write, it
// first writes the file.
func compareHash(t *testing.T, name, file string, content []byte, write bool) {
	t.Helper()
	sum := sha256.Sum256(content)
	got := hex.EncodeToString(sum[:]) + "\n"
	if write {
		writeFile(t, file, []byte(got))
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the %s of the replies hash to %s, want %s", name, strings.TrimSpace(got), want)
	}
}

func writeFile(t *testing.T, name string, text []byte) {
	t.Helper()
	if err := os.WriteFile(name, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// recordedServer is a simulated server of a scenario.
type recordedServer struct {
	id, zone, model string
	started         string // start time in the endpoint list, "-" if unknown
	failing, silent bool
	slow            float64 // factor of the response time; values below 1 count as 1
	inFlight        int     // number of attempts in flight
}

// recorder plays a scenario against an adapter and records the events.
type recorder struct {
	random   *rand.Rand
	servers  []*recordedServer
	now      float64
	due      []dueEvent // scheduled events, sorted by time
	changed  []string   // list entries that changed since the last list was sent
	events   bytes.Buffer
	attempts map[string]int  // number of attempts by request
	finished map[string]bool // requests that have ended
	requests int             // number of requests so far
	added    int             // number of servers added
	replies  *bufio.Scanner  // output of the adapter
	to       io.Writer       // input of the adapter
}

// dueEvent is a scheduled event. text returns its lines, or "" if it no longer applies.
type dueEvent struct {
	at   float64
	text func() string
}

// recordEvents plays a scenario and returns its events.
func recordEvents(t *testing.T, s scenario) []byte {
	t.Helper()
	in, to := io.Pipe()
	from, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { // ends when the input is closed below
		err := run(in, out)
		_ = out.CloseWithError(err)
		ended <- err
	}()
	r := &recorder{random: rand.New(rand.NewPCG(1, uint64(len(s.name)))), replies: bufio.NewScanner(from), to: to,
		attempts: map[string]int{}, finished: map[string]bool{}, now: 100}
	for i := range s.servers {
		zone, model := []string{"north", "south"}[i%2], []string{"big", "small"}[i/2%2]
		r.servers = append(r.servers, &recordedServer{id: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), zone: zone, model: model,
			started: "-"})
	}
	r.batch("OPEN_INSTANCE\t7\t" + strings.TrimSuffix(s.settings, "\t") + "\n" + r.list("remembered", r.entries()))
	for second := range int(s.seconds) {
		r.at(100+float64(second), func() string {
			s.faults(r, second)
			return r.changes()
		})
	}
	for at := 100.5; at < 100+s.seconds-3; at += r.random.ExpFloat64() / s.rate {
		r.at(at, r.request)
	}
	for len(r.due) > 0 && r.due[0].at < 100+s.seconds {
		e := r.due[0]
		r.due = r.due[1:]
		r.now = e.at
		if text := e.text(); text != "" {
			r.batch(text)
		}
	}
	_ = to.Close() // ends run
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	return r.events.Bytes()
}

// at schedules an event. Events at the same time keep their order.
func (r *recorder) at(at float64, text func() string) {
	i, _ := slices.BinarySearchFunc(r.due, at, func(e dueEvent, at float64) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	r.due = slices.Insert(r.due, i, dueEvent{at, text})
}

// batch sends a batch with the given events and processes the reply.
func (r *recorder) batch(text string) {
	lines := fmt.Sprintf("FRAME\t%.6f\nSWITCH_TO\t0\n%sYOUR_TURN\n", r.now, text)
	r.events.WriteString(lines)
	_, _ = io.WriteString(r.to, lines) // a failed write ends run, which returns the error
	for r.replies.Scan() && r.replies.Text() != "END" {
		r.reply(strings.Split(r.replies.Text(), "\t"))
	}
}

// reply processes one line of a reply.
func (r *recorder) reply(parts []string) {
	switch parts[0] {
	case "FORWARD":
		attempt := r.attempts[parts[1]]
		r.attempts[parts[1]]++
		r.forward(parts[1], attempt, parts[2])
	case "NOT_NOW", "END_FAILED":
		r.finished[parts[1]] = true
	case "AFTER":
		after, _ := strconv.ParseFloat(parts[1], 64)
		r.at(r.now+after, func() string { return "DUE\t" + parts[2] + "\n" })
	case "DROP_ATTEMPT": // the response still arrives, after the request has ended
	case "TAIL":
		r.at(r.now+0.05, func() string { return r.list("all", r.entries()) })
	}
}

// forward schedules the result of an attempt at a server.
func (r *recorder) forward(id string, attempt int, server string) {
	at := slices.IndexFunc(r.servers, func(s *recordedServer) bool { return s.id == server })
	result := func(outcome string, took float64) {
		r.at(r.now+took, func() string {
			if at >= 0 {
				r.servers[at].inFlight--
			}
			finished := 0
			if r.finished[id] || outcome == "completed" {
				r.finished[id], finished = true, 1
			}
			return fmt.Sprintf("RESPONSE\t%s\t%d\t%s\t%s\t%.6f\t%d\t-\n", id, attempt, server, outcome, took, finished)
		})
	}
	if at < 0 {
		result("refused_conn", 0.002)
		return
	}
	s := r.servers[at]
	s.inFlight++
	took := (0.02 + r.random.ExpFloat64()*0.02) * max(s.slow, 1) * float64(1+s.inFlight/4)
	switch {
	case s.silent:
		result("overdue", 2)
	case s.failing:
		result("errored", 0.01)
	case r.random.Float64() < 0.005:
		result("severed", took)
	default:
		result("completed", took)
	}
}

// request returns a client's request. On average, 1 in 30 clients leaves after 0.03 s.
func (r *recorder) request() string {
	r.requests++
	id := strconv.Itoa(r.requests)
	class := []string{"read", "read", "read", "write", "pay"}[r.random.IntN(5)]
	tenant := []string{"-", "inside", "beyond"}[r.random.IntN(3)]
	within, attributes := 2.0, "-"
	if r.random.IntN(10) == 0 {
		attributes = "2" // the client marks the request as a retry
	}
	if r.random.IntN(30) == 0 {
		r.at(r.now+0.03, func() string {
			if r.finished[id] {
				return ""
			}
			r.finished[id] = true
			return "CLIENT_LEFT\t" + id + "\n"
		})
	}
	return fmt.Sprintf("DEMAND\t%s\t%s\t%s\t-\t%g\t-\t%s\n", id, class, tenant, within, attributes)
}

// change adds the new state of a server to the next list.
func (r *recorder) change(s *recordedServer, state string) {
	r.changed = append(r.changed, s.entry(state))
}

// add starts a new, cold server.
func (r *recorder) add(zone string) {
	r.added++
	s := &recordedServer{id: fmt.Sprintf("10.9.0.%d:80", r.added), zone: zone, model: "big", started: fmt.Sprintf("%.6f", r.now)}
	r.servers = append(r.servers, s)
	r.change(s, "healthy")
}

// changes returns a list of the changed entries, or "" if there are none.
func (r *recorder) changes() string {
	if len(r.changed) == 0 {
		return ""
	}
	text := r.list("changes", r.changed)
	r.changed = nil
	return text
}

// entries returns the list entries of all servers, each healthy.
func (r *recorder) entries() (entries []string) {
	for _, s := range r.servers {
		entries = append(entries, s.entry("healthy"))
	}
	return entries
}

func (s *recordedServer) entry(state string) string {
	return fmt.Sprintf("ITEM\t%s\t%s\t%s\t0\t%s\t1\t%s\n", s.id, s.zone, s.model, state, s.started)
}

func (r *recorder) list(mode string, entries []string) string {
	return fmt.Sprintf("DEFINE_LIST\t0\t%d\n%sENDPOINTS\t0\t%s\t1\n", len(entries), strings.Join(entries, ""), mode)
}
