package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"reflect"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"milletramp.example/milletramp/internal/fleet/policyagent"
	"milletramp.example/milletramp/internal/member"
	"milletramp.example/milletramp/internal/sidecar"
)

// The states of a change, as a console says them.
const (
	stateInForce = "in force"
	stateRefused = "refused"
)

// exitUndecided is the exit status where it is not known yet what becomes of a change. Refused, and any other fault, is 1.
const exitUndecided = 2

var errUndecided = errors.New("undecided: ask again with `milletramp policy outcome`")

type policyCommands struct {
	Check   policyCheck   `cmd:"" help:"Check a document with the code that would run it."`
	Propose policyPropose `cmd:"" help:"Propose a document as the fleet's policy; exit status 0: in force, 1: refused, 2: undecided."`
	Outcome policyOutcome `cmd:"" help:"Ask again what became of a change; exit status as for propose."`
	Revert  policyRevert  `cmd:"" help:"Propose an earlier document again."`
	Status  policyStatus  `cmd:"" help:"Show which policy is in force and who decides; exit status 1 if the sidecar serves nothing or without a promise."`
	Log     policyLog     `cmd:"" help:"List the changes that a decider remembers."`
	Diff    policyDiff    `cmd:"" help:"Show how two documents differ; exit status 1 if they do."`
	Replace policyReplace `cmd:"" help:"Have a decider that waits for a place take that of another; exit status 0: it has, 1: refused, 2: not known."`
}

// callConsole makes a call at a console.
func callConsole(ctx context.Context, console, method, path string, body, into any) error {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+console+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", console, resp.StatusCode, strings.TrimSpace(string(answer)))
	}
	return json.Unmarshal(answer, into)
}

type policyCheck struct {
	File   string `arg:"" type:"existingfile" help:"The document."`
	Config string `required:"" type:"existingfile" help:"The configuration of a sidecar that is to run it."`
}

// Run reads the document as that sidecar would.
func (c policyCheck) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	config, err := sidecar.LoadConfig(func(key string) string {
		if key == "PROXY_CONFIG" {
			return c.Config
		}
		return ""
	})
	if err != nil {
		return err
	}
	if err := sidecar.CheckPolicy(config, text); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Printf("%s: a sidecar of %s can run it\n", c.File, c.Config)
	return nil
}

// policyConsole is what all commands that ask a console have.
type policyConsole struct {
	Console string        `arg:"" help:"Address of any sidecar's console."`
	JSON    bool          `help:"Print the answer as JSON."`
	Wait    time.Duration `default:"30s" help:"For the answer."`
}

func (a policyConsole) print(v any, text string) error {
	if !a.JSON {
		_, err := fmt.Println(text)
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// status asks for it.
func (a policyConsole) status(ctx context.Context) (s policyagent.Status, err error) {
	return s, callConsole(ctx, a.Console, http.MethodGet, "/ops/policy/status", nil, &s)
}

// policyInForce is the number of the policy in force, by most deciders that answer.
func (a policyConsole) policyInForce(ctx context.Context) (uint64, error) {
	s, err := a.status(ctx)
	if err != nil {
		return 0, err
	}
	number := uint64(0)
	for _, d := range s.Voters {
		number = max(number, d.InForce)
	}
	if number == 0 {
		return 0, fmt.Errorf("%s: no decider answers", a.Console)
	}
	return number, nil
}

// awaitOutcome follows a change until it has ended or the time is over, and writes what it waits for. One that no decider has heard of, as
// nobody led when it was proposed, is proposed again, where it is given: by its id it is the same.
func (a policyConsole) awaitOutcome(ctx context.Context, o member.Outcome, again *member.Proposal) error {
	for said := ""; o.State != stateInForce && o.State != stateRefused; {
		if s, err := a.status(ctx); err == nil {
			for _, d := range s.Voters {
				line := fmt.Sprintf("%s, waits for %s, %.1f s at most", o.State, strings.Join(d.Waiting, ", "), d.Seconds)
				if d.Pending != nil && d.Pending.ID == o.ID && len(d.Waiting) > 0 && line != said {
					fmt.Fprintln(os.Stderr, line)
					said = line
				}
			}
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return errors.Join(a.print(o, fmt.Sprintf("undecided: %s is %s", o.ID, o.State)), errUndecided)
		}
		var now member.Outcome
		if o.State == "unknown" && again != nil {
			if err := callConsole(ctx, a.Console, http.MethodPost, "/ops/policy/propose", again, &now); err == nil && now.State != "unknown" {
				o = now
			}
			continue
		}
		if err := callConsole(ctx, a.Console, http.MethodGet, "/ops/policy/outcome?id="+url.QueryEscape(o.ID), nil, &now); err == nil && now.State != "unknown" {
			o = now
		}
	}
	if o.State == stateRefused {
		return errors.Join(a.print(o, "refused, nowhere in force: "+o.Reason), fmt.Errorf("change %s was refused", o.ID))
	}
	return a.print(o, fmt.Sprintf("policy %d is in force", o.Number))
}

type policyPropose struct {
	File          string `arg:"" type:"existingfile" help:"The document."`
	ID            string `help:"By which the answer can be asked for again; one is drawn where none is given."`
	Author        string `help:"Who asks; usual: the user's name."`
	Follows       uint64 `help:"The number that is to be in force until then; usual: that which is."`
	policyConsole `embed:""`
}

// Run proposes the document.
func (c policyPropose) Run(ctx context.Context) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.propose(ctx, member.Proposal{ID: c.ID, Author: c.Author, Follows: c.Follows, Text: text})
}

func (a policyConsole) propose(ctx context.Context, p member.Proposal) (err error) {
	ctx, cancel := context.WithTimeout(ctx, a.Wait)
	defer cancel()
	if p.Follows == 0 {
		if p.Follows, err = a.policyInForce(ctx); err != nil {
			return err
		}
	}
	if p.ID == "" {
		p.ID = fmt.Sprintf("%016x", rand.Uint64())
	}
	if who, err := user.Current(); err == nil {
		p.Author = cmp.Or(p.Author, who.Username)
	}
	fmt.Fprintln(os.Stderr, "change", p.ID)
	o := member.Outcome{ID: p.ID, State: "unknown"}
	if err := callConsole(ctx, a.Console, http.MethodPost, "/ops/policy/propose", p, &o); err != nil {
		return err
	}
	return a.awaitOutcome(ctx, o, &p)
}

type policyOutcome struct {
	ID            string `arg:"" help:"Of the change."`
	policyConsole `embed:""`
}

// Run asks again.
func (c policyOutcome) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	return c.awaitOutcome(ctx, member.Outcome{ID: c.ID, State: "unknown"}, nil)
}

// document gets one; 0: the one in force.
func (a policyConsole) document(ctx context.Context, number uint64) (d member.Document, err error) {
	path := "/ops/policy/document"
	if number > 0 {
		path += fmt.Sprintf("?number=%d", number)
	}
	return d, callConsole(ctx, a.Console, http.MethodGet, path, nil, &d)
}

type policyRevert struct {
	Number        uint64 `arg:"" help:"Of the document that is to be in force again, under a new number."`
	policyConsole `embed:""`
}

// Run proposes the earlier document.
func (c policyRevert) Run(ctx context.Context) error {
	d, err := c.document(ctx, c.Number)
	if err != nil {
		return err
	}
	return c.propose(ctx, member.Proposal{Text: d.Text})
}

type policyStatus struct {
	policyConsole `embed:""`
}

// Run shows the status.
func (c policyStatus) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	var b strings.Builder
	serves := fmt.Sprintf("serves under policy %d", s.Serves)
	switch {
	case s.Serves == 0:
		serves = "takes no requests: nobody has promised it a policy"
	case s.WithoutLease:
		serves += " WITHOUT A PROMISE: others may serve under another one"
	}
	fmt.Fprintln(&b, serves)
	for _, d := range s.Voters {
		fmt.Fprintf(&b, "decider %s: policy %d (%s) in force, leader %s", d.Voter, d.InForce, d.Digest, cmp.Or(d.Leader, "unknown"))
		if d.Pending != nil {
			fmt.Fprintf(&b, "; change %s to policy %d by %s: %s", d.Pending.ID, d.Pending.Number, d.Pending.Author, d.Pending.State)
		}
		if len(d.Waiting) > 0 {
			fmt.Fprintf(&b, ", waits for %s, %.1f s at most", strings.Join(d.Waiting, ", "), d.Seconds)
		}
		if !d.Settled && d.Bootstrapped {
			fmt.Fprint(&b, "; one decider is taking the place of another")
		}
		if d.NotAdmitted {
			fmt.Fprint(&b, "; waits for a place: `milletramp policy replace`")
		}
		if len(d.Candidates) > 0 {
			fmt.Fprintf(&b, "; may take a place: %s", strings.Join(d.Candidates, ", "))
		}
		if d.Broken != "" {
			fmt.Fprintf(&b, "; takes part no more: %s", d.Broken)
		}
		fmt.Fprintln(&b)
	}
	for _, name := range s.Unresponsive {
		fmt.Fprintf(&b, "decider %s: no answer\n", name)
	}
	err = c.print(s, strings.TrimSuffix(b.String(), "\n"))
	if s.Serves == 0 || s.WithoutLease {
		err = errors.Join(err, errors.New(serves))
	}
	return err
}

type policyReplace struct {
	OldVoter      string `arg:"" name:"out" help:"The decider that goes."`
	NewVoter      string `arg:"" name:"in" help:"The one that comes: the same name, where it has lost its folder."`
	policyConsole `embed:""`
}

// Run asks for it and waits until it is through.
func (c policyReplace) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	if err := callConsole(ctx, c.Console, http.MethodPost, "/ops/policy/replace", member.Replacement{Out: c.OldVoter, In: c.NewVoter}, &member.Replacement{}); err != nil {
		return err
	}
	for {
		if s, err := c.status(ctx); err == nil {
			for _, d := range s.Voters {
				if d.Voter == c.NewVoter && d.Settled && slices.Contains(d.Voters, c.NewVoter) && (c.NewVoter == c.OldVoter || !slices.Contains(d.Voters, c.OldVoter)) {
					return c.print(d.Voters, fmt.Sprintf("%s decides: %s", c.NewVoter, strings.Join(d.Voters, ", ")))
				}
			}
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("%s has not yet taken the place of %s", c.NewVoter, c.OldVoter), errUndecided)
		}
	}
}

type policyLog struct {
	policyConsole `embed:""`
}

// Run lists changes, by the decider that knows most.
func (c policyLog) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	if len(s.Voters) == 0 {
		return fmt.Errorf("%s: no decider answers", c.Console)
	}
	d := slices.MaxFunc(s.Voters, func(a, b policyagent.VoterState) int { return cmp.Compare(len(a.Outcomes), len(b.Outcomes)) })
	var b strings.Builder
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "number\tid\tauthor\tstate\treason")
	for _, o := range d.Outcomes {
		fmt.Fprintf(table, "%d\t%s\t%s\t%v\t%s\n", o.Number, o.ID, o.Author, o.State, o.Reason)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return c.print(d.Outcomes, strings.TrimSuffix(b.String(), "\n"))
}

type policyDiff struct {
	policyConsole `embed:""`
	From          uint64 `arg:"" help:"Number of a document."`
	To            uint64 `arg:"" optional:"" help:"Number of another; usual: the one in force."`
}

// Run compares two documents.
func (c policyDiff) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	from, err := c.document(ctx, c.From)
	if err != nil {
		return err
	}
	to, err := c.document(ctx, c.To)
	if err != nil {
		return err
	}
	var a, b any
	if err := errors.Join(json.Unmarshal(from.Text, &a), json.Unmarshal(to.Text, &b)); err != nil {
		return err
	}
	lines := differences("", a, b)
	if len(lines) == 0 {
		return nil
	}
	return errors.Join(c.print(lines, strings.Join(lines, "\n")), fmt.Errorf("policies %d and %d differ in %d places", from.Number, to.Number, len(lines)))
}

// differences lists the places in which two documents differ, by their paths.
func differences(path string, a, b any) (lines []string) {
	x, first := a.(map[string]any)
	y, second := b.(map[string]any)
	if first && second {
		keys := map[string]bool{}
		for key := range x {
			keys[key] = true
		}
		for key := range y {
			keys[key] = true
		}
		for key := range keys {
			lines = append(lines, differences(strings.TrimPrefix(path+"."+key, "."), x[key], y[key])...)
		}
		slices.Sort(lines)
		return lines
	}
	p, first := a.([]any)
	q, second := b.([]any)
	if first && second {
		for i := range max(len(p), len(q)) {
			var u, v any
			if i < len(p) {
				u = p[i]
			}
			if i < len(q) {
				v = q[i]
			}
			lines = append(lines, differences(fmt.Sprintf("%s.%d", path, i), u, v)...)
		}
		return lines
	}
	if reflect.DeepEqual(a, b) {
		return nil
	}
	show := func(v any) string {
		text, err := json.Marshal(v)
		if v == nil || err != nil {
			return "nothing"
		}
		return string(text)
	}
	return []string{fmt.Sprintf("%s: %s, now %s", path, show(a), show(b))}
}
