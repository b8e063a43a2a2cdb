package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// build returns the tool.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "milletramp")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// TestCommands runs the tool as an operator does: status, what it says, and no half-written report.
func TestCommands(t *testing.T) {
	bin, dir := build(t), t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"bad\"\nlength = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	page := filepath.Join(dir, "page.html")
	run := func(status int, want string, args ...string) string {
		t.Helper()
		cmd := exec.Command(bin, append([]string{"lab", "--dir", "../../lab"}, args...)...)
		var stderr strings.Builder
		cmd.Stderr = &stderr
		out, err := cmd.Output()
		got := 0
		if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
			got = exit.ExitCode()
		}
		if got != status || !strings.Contains(string(out)+stderr.String(), want) {
			t.Errorf("%v: status %d, said\n%s%s\nwant status %d and %q", args, got, out, stderr.String(), status, want)
		}
		return string(out)
	}
	run(0, "Full-house", "list")
	run(1, "no scenario \"nowhere\"", "run", "nowhere", "--html", page)
	run(1, "bad.toml:2: ", "run", bad)
	run(1, "exists in the simulated plane alone", "run", "quiet", "--policy", "random")
	run(1, "unknown policy \"magic\"", "run", "quiet", "--plane", "sim", "--policy", "magic")
	run(1, "load.speed: there is no \"speed\"", "sweep", "quiet", "--knob", "load.speed", "--range", "1:2:1")
	run(1, "has no sensible number of steps", "sweep", "quiet", "--knob", "load.use", "--range", "1:2:0")
	run(1, "broke a rule or missed an expectation", "run", "overload", "--plane", "sim", "--policy", "random")
	run(1, "build \"nothing\"", "compare", "quiet", "--plane", "sockets", "--a", "nothing", "--b", "module")
	if _, err := os.Stat(page); err == nil {
		t.Error("a run that was not made left a page")
	}
	run(0, "B is", "compare", "short-calm", "--a", "random", "--b", "module", "--seeds", "3")
	run(0, "load.use", "sweep", "short-calm", "--knob", "load.use", "--range", "0.3:0.5:0.1", "--seeds", "2", "--html", page)
	for _, args := range [][]string{nil, {"run", "short-calm", "--plane", "sim", "--html", page}} {
		if args != nil {
			run(0, "all expectations met", args...)
		}
		text, err := os.ReadFile(page)
		if err != nil || strings.Count(string(text), "<svg") == 0 || strings.Contains(string(text), "http-equiv") {
			t.Errorf("page of %d bytes, error %v", len(text), err)
		}
	}
	var day struct {
		Figures struct {
			Worth float64 `json:"in_time_worth"`
		}
	}
	if err := json.Unmarshal([]byte(run(0, "", "run", "short-calm", "--plane", "sim", "--json")), &day); err != nil || day.Figures.Worth < 0.5 {
		t.Errorf("JSON has worth %v, error %v", day.Figures.Worth, err)
	}
}

// TestInterrupt ends a run on sockets in the middle: it says so, and no sidecar is left behind.
func TestInterrupt(t *testing.T) {
	bin := build(t)
	cmd := exec.Command(bin, "lab", "--dir", "../../lab", "run", "quiet", "--log")
	pipe, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(pipe)
	last, told := "", false
	for lines.Scan() {
		if last = lines.Text(); strings.Contains(last, "quiet: ") && !told { // it is under way
			told = true
			if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := cmd.Wait(); err == nil || !strings.Contains(last, "interrupted at ") {
		t.Errorf("ended with %v, last said %q", err, last)
	}
	// The tool's sidecars are the tool itself under another command.
	left, _ := filepath.Glob("/proc/[0-9]*/exe")
	for _, exe := range left {
		if to, err := os.Readlink(exe); err == nil && strings.HasPrefix(to, bin) {
			t.Errorf("%s is left behind", exe)
		}
	}
}
