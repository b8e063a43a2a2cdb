package main

import (
	"context"
	"fmt"
	"os"

	"milletramp.example/milletramp/internal/lab/scale"
)

type labScale struct {
	Sidecar string `help:"A build of the sidecar to measure in place of this one." type:"existingfile"`
	Zones   int    `default:"3" help:"Zones of the fleets."`
	CSV     string `name:"csv" help:"Write the figures to this file too, as comma-separated values."`
}

// Run measures a sidecar in fleets of different sizes.
func (s *labScale) Run(ctx context.Context) error {
	p, err := newPlayer("sockets", "module", s.Sidecar, false)
	if err != nil {
		return err
	}
	opt := scale.Standard(p.Sidecar)
	opt.Zones = s.Zones
	res, err := scale.Run(ctx, opt)
	if err != nil {
		return err
	}
	if err := res.Write(os.Stdout); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if s.CSV != "" {
		if err := writeFile(s.CSV, res.CSV); err != nil {
			return err
		}
	}
	if over := res.Over(); len(over) > 0 {
		return fmt.Errorf("%d figures are over their limits", len(over))
	}
	return nil
}
