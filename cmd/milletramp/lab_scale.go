package main

import (
	"context"
	"fmt"
	"os"

	"milletramp.example/milletramp/internal/lab/scale"
)

type labScale struct {
	Sidecar string `type:"existingfile" help:"A build of the sidecar to measure in place of this one."`
	Zones   int    `default:"3" help:"Zones of the fleets."`
	CSV     string `name:"csv" help:"Write the figures to this file too, as comma-separated values."`
}

// Help says what the exit status means.
func (*labScale) Help() string {
	return "Exit status: 0 if all figures are within the operators' limits for fleets of that size, 1 if one is over " +
		"its limit or cannot be measured. CPU time goes up on a busy machine."
}

// Run measures a sidecar in fleets of different sizes.
func (s *labScale) Run(ctx context.Context) error {
	sidecar, err := sidecarArguments(s.Sidecar)
	if err != nil {
		return err
	}
	options := scale.Standard(sidecar)
	options.Zones = s.Zones
	result, err := scale.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := result.Write(os.Stdout); err != nil {
		return wrapReportError(err)
	}
	if s.CSV != "" {
		if err := writeFile(s.CSV, result.CSV); err != nil {
			return err
		}
	}
	if over := result.Exceeded(); len(over) > 0 {
		return fmt.Errorf("%d figures are over their limits", len(over))
	}
	return nil
}
