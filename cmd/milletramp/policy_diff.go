package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

type policyDiff struct {
	policyConsole `embed:""`

	From uint64 `arg:"" help:"Number of a document."`
	To   uint64 `arg:"" optional:"" help:"Number of another; default: the one in force."`
}

// Help says what the exit status means.
func (policyDiff) Help() string {
	return "Exit status: 0 if the documents are equal, 1 if they differ or cannot be fetched."
}

// Run compares two documents.
func (c policyDiff) Run(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	from, err := c.document(ctx, c.From)
	if err != nil {
		return err
	}
	to, err := c.document(ctx, c.To)
	if err != nil {
		return err
	}
	var before, after any
	if err := errors.Join(json.Unmarshal(from.Text, &before), json.Unmarshal(to.Text, &after)); err != nil {
		return err
	}
	lines := diffValues("", before, after)
	if len(lines) == 0 {
		return nil
	}
	err = fmt.Errorf("policies %d and %d differ in %d places", from.Number, to.Number, len(lines))
	return errors.Join(c.print(lines, strings.Join(lines, "\n")), err)
}

// diffValues lists the places in which two decoded JSON values differ, by their paths.
func diffValues(path string, before, after any) []string {
	objectBefore, isObjectBefore := before.(map[string]any)
	objectAfter, isObjectAfter := after.(map[string]any)
	if isObjectBefore && isObjectAfter {
		return diffObjects(path, objectBefore, objectAfter)
	}
	arrayBefore, isArrayBefore := before.([]any)
	arrayAfter, isArrayAfter := after.([]any)
	if isArrayBefore && isArrayAfter {
		return diffArrays(path, arrayBefore, arrayAfter)
	}
	if reflect.DeepEqual(before, after) {
		return nil
	}
	return []string{fmt.Sprintf("%s: %s, now %s", path, formatJSON(before), formatJSON(after))}
}

func diffObjects(path string, before, after map[string]any) []string {
	keys := map[string]bool{}
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var lines []string
	for key := range keys {
		inner := strings.TrimPrefix(path+"."+key, ".")
		lines = append(lines, diffValues(inner, before[key], after[key])...)
	}
	slices.Sort(lines)
	return lines
}

func diffArrays(path string, before, after []any) []string {
	var lines []string
	for i := range max(len(before), len(after)) {
		inner := fmt.Sprintf("%s.%d", path, i)
		lines = append(lines, diffValues(inner, elementAt(before, i), elementAt(after, i))...)
	}
	return lines
}

// elementAt returns nil past the end of the array.
func elementAt(array []any, i int) any {
	if i >= len(array) {
		return nil
	}
	return array[i]
}

func formatJSON(value any) string {
	text, err := json.Marshal(value)
	if value == nil || err != nil {
		return "nothing"
	}
	return string(text)
}
