//go:build review

// The cases of the review as Go tests, so that KNOWN-RED.txt can name them. They stay out of the default test run. The
// line "build" of deploy/balancer.toml and review/build.sh have to be run first.
package main

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// runCase runs a case with its disruption and fails if the rule was broken or the case could not run.
func runCase(t *testing.T, folder string) {
	t.Helper()
	text, err := exec.Command(filepath.Join("..", folder, "run.sh")).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == broken:
		t.Errorf("%s", text)
	case err != nil:
		t.Fatalf("the case could not run: %v\n%s", err, text)
	}
}

func TestReviewRequestWithKeyRunsOnce(t *testing.T) { runCase(t, "1") }

func TestReviewRequestsBesideStalledPeersAreAnswered(t *testing.T) { runCase(t, "2") }

func TestReviewLongAnswersOutlastStop(t *testing.T) { runCase(t, "3") }
