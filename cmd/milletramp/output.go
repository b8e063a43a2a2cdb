package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
)

// reportMode is the file mode of reports.
const reportMode = 0o644

// newTable returns a writer that aligns columns separated by tabs. It has to be flushed.
func newTable(w io.Writer) *tabwriter.Writer {
	const columnGap = 2 // spaces
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
}

// printJSON prints a report of the lab on one line.
func printJSON(v any) error {
	return wrapReportError(json.NewEncoder(os.Stdout).Encode(v))
}

// printIndentedJSON prints what a console answered.
func printIndentedJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// writeFile writes a whole file or none: an interrupted command leaves no part of a report under its name.
func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.CreateTemp(filepath.Dir(name), ".milletramp-*")
	if err != nil {
		return wrapReportError(err)
	}
	defer os.Remove(file.Name()) // fails once the file is renamed
	if err := errors.Join(write(file), file.Close()); err != nil {
		return wrapReportError(err)
	}
	if err := os.Chmod(file.Name(), reportMode); err != nil {
		return wrapReportError(err)
	}
	return wrapReportError(os.Rename(file.Name(), name))
}

// wrapReportError returns nil for nil.
func wrapReportError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("report: %w", err)
}
