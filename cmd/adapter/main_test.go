package main

import (
	"bytes"
	"strings"
	"testing"
)

// openInstance starts an instance with one class.
const openInstance = "OPEN_INSTANCE\t7\tareas=north\tmodels=big\tmy_zone=north\tordinal=0\tpeers_total=1\tdiscovery=pushed\t" +
	"limits.try_limit=3\trequest_classes.count=1\trequest_classes.0.name=read\trequest_classes.0.effect=idempotent\t" +
	"request_classes.0.aim_s=0.5\trequest_classes.0.deadline_s=2\trequest_classes.0.credit=4\ttier=0\ttiers=back\n"

// batches holds four batches: an empty one, the start of an instance with one server, a request and its failure.
const batches = "FRAME\t1\nYOUR_TURN\nFRAME\t2\nSWITCH_TO\t0\n" + openInstance +
	"DEFINE_LIST\t0\t1\nITEM\t10.0.0.1:80\tnorth\tbig\t0\thealthy\t1\t-\nENDPOINTS\t0\tremembered\t1\nYOUR_TURN\n" +
	"FRAME\t2.1\nSWITCH_TO\t0\nDEMAND\t9\tread\t-\t-\t1\t-\t-\nYOUR_TURN\n" +
	"FRAME\t2.2\nSWITCH_TO\t0\nRESPONSE\t9\t0\t10.0.0.1:80\terrored\t0.1\t0\t-\nYOUR_TURN\n"

func TestRun(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(batches), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "END\n")
	if len(replies) != 5 || replies[0] != "" {
		t.Fatalf("replies %q, want 4 that each end with END", replies)
	}
	if want := "SPEAKING\t0\nFORWARD\t9\t10.0.0.1:80\t0\nAFTER\t0.25\t36866\n"; replies[2] != want {
		t.Errorf("reply to the request %q, want %q", replies[2], want)
	}
	if !strings.Contains(replies[3], "NOT_NOW\t9\t") { // the only server has already failed the request
		t.Errorf("reply to the failed attempt %q, want a rejection", replies[3])
	}
}

func TestRunErrors(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"malformed line", batches + "WHAT\n", "line 18"},
		{"bad settings", "FRAME\t1\nSWITCH_TO\t4\n" + strings.Replace(openInstance, "aim_s=0.5", "aim_s=-1", 1), "instance 4: balance: class"},
		{"event for an instance that is not running", "FRAME\t1\nSWITCH_TO\t4\nDUE\t1\n", "instance 4, which is not running"},
		{"unknown class", strings.Replace(batches, "DEMAND\t9\tread", "DEMAND\t9\tsing", 1), "unknown class"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := run(strings.NewReader(tt.text), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}
