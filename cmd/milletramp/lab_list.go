package main

import (
	"fmt"
	"os"

	"milletramp.example/milletramp/internal/lab"
	"milletramp.example/milletramp/internal/lab/scenario"
)

type labList struct{}

// Help says what the exit status means.
func (labList) Help() string {
	return "Exit status: 0, or 1 if the folder has no scenarios or one of them cannot be read."
}

// Run lists the scenarios.
func (labList) Run(all *commands) error {
	files, err := lab.List(all.Lab.Dir)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("no scenarios in %s", all.Lab.Dir)
	}
	table := newTable(os.Stdout)
	for _, file := range files {
		s, err := scenario.Read(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\t%s\n", s.Name, s.About)
	}
	return table.Flush()
}
