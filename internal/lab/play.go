package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"milletramp.example/milletramp/internal/lab/checker"
	"milletramp.example/milletramp/internal/lab/loopback"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/report"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/scenario"
)

// Player says how scenarios are played.
type Player struct {
	Sockets  bool     // on loopback with real sidecars, else in simulated time
	Sidecar  []string // the command of one, for the loopback backend
	Policy   string   // in simulated time: "module" or a baseline policy
	Log      io.Writer
	Progress func(at, of time.Duration) // may be nil
}

// Name words what is played.
func (p Player) Name() string {
	if p.Sockets {
		return p.Sidecar[0]
	}
	return p.Policy
}

// Play plays a scenario; a seed of 0 is the scenario's own.
func (p Player) Play(ctx context.Context, s *scenario.Scenario, seed uint64) (*report.Result, error) {
	if seed == 0 {
		seed = s.Seed
	}
	progress := func(at time.Duration) {
		if p.Progress != nil {
			p.Progress(at, s.Length.Std())
		}
	}
	if p.Sockets {
		return p.onSockets(ctx, s, seed, progress)
	}
	opt, err := simulated(p.Policy, s)
	if err != nil {
		return nil, err
	}
	opt.Progress = progress
	if p.Log != nil {
		opt.Log = func(at time.Duration, sidecar int, line string) {
			fmt.Fprintf(p.Log, "%8.3f n%d %s\n", at.Seconds(), sidecar, line)
		}
	}
	d, err := Simulated(ctx, s, seed, opt)
	if err != nil {
		return nil, err
	}
	d.Policy = p.Policy
	return d, nil
}

// onSockets plays a scenario on loopback, with real sidecars.
func (p Player) onSockets(
	ctx context.Context, s *scenario.Scenario, seed uint64, progress func(time.Duration),
) (*report.Result, error) {
	began := time.Now()
	drawn := runplan.Draw(s, seed)
	meter, tape := report.NewMeter(drawn), &record.Tape{}
	res, err := loopback.Run(ctx, drawn, loopback.Options{
		Command:    p.Sidecar,
		Sink:       record.Sinks{meter, tape},
		Progress:   progress,
		SidecarLog: p.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	judge := checker.New(socketTerms(drawn, res.MaxSendDelay))
	for i := range tape.Events {
		judge.Record(&tape.Events[i])
	}
	d := Judge(drawn, meter, judge)
	d.Backend = "socket"
	d.Policy = p.Name()
	d.ElapsedSeconds = time.Since(began).Seconds()
	d.MaxSendDelaySeconds = res.MaxSendDelay.Seconds()
	d.MaxSidecarKB = res.MaxRSS
	d.MaxSidecarFDs = res.MaxDescriptors
	return d, nil
}

// mostExcused is the most by which a machine that stands still excuses late answers. One that stands still for longer
// is not fit to play on, and its breaches say so.
const mostExcused = 300 * time.Millisecond

// socketTerms are the terms of a play in real time. The clients' own lateness, the most by which a request was sent
// behind its time, is how exactly this machine tells times that day: a sidecar next to them that answers as late was
// stood still with them.
func socketTerms(drawn *runplan.Plan, late time.Duration) checker.Limits {
	s := drawn.Scenario
	late = min(late, mostExcused)
	terms := Terms(drawn, loopback.ResponseSlack+late)
	// Where connections never come up, the wire shows no attempt while the sidecar waits for one; elsewhere an answer
	// has to follow what was last out within the way there and the lateness of a machine that does all parts at once.
	connectTime := s.Network.ConnectTimeout.Std() + 4*s.Network.CrossZone.Std()
	terms.SendGrace = connectTime // nodes are seen, not the sidecars' sending
	terms.GiveUpGrace = connectTime + 100*time.Millisecond + late
	for _, a := range drawn.Actions {
		if a.Kind == runplan.IsolateNode || a.Kind == runplan.CutZone {
			terms.GiveUpGrace = time.Hour
		}
	}
	return terms
}
