package sidecar

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestSidecarServesWhileSharedFolderIsMissing has the folder for upgrades be away for a while: the sidecar goes on
// serving, answers no call of the operators with yes that the next process would not see, and once the folder is there
// again that process sees what was called, without a further call.
func TestSidecarServesWhileSharedFolderIsMissing(t *testing.T) {
	dir := t.TempDir()
	one, two := testserver.StartBackend(t, testserver.Respond(200, "", "one")), testserver.StartBackend(t, testserver.Respond(200, "", "two"))
	three := testserver.StartBackend(t, testserver.Respond(200, "", "three"))
	d := testserver.StartDiscovery(t)
	p := start(t, testserver.ConfigText(d.Address, testserver.ServingList(1, one, two, three), testserver.Settings), "TMPDIR="+dir)
	testserver.Receive(t, d.Watches, "watch")
	p.sendUntilBody("three")
	next, err := hotrestart.Join(dir, hotrestart.State{Name: "n0", ListenAddress: "127.0.0.1:0", Started: time.Now(),
		Phase: hotrestart.Starting}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Leave() }()
	sees := func() []string { return next.Others()[0].AdminDown }
	if _, err := p.operator.SetAdminDown(context.Background(), "s-0", true, false); err != nil || !slices.Equal(sees(), []string{"s-0"}) {
		t.Fatalf("error %v, the next process sees %v", err, sees())
	}
	folders, err := filepath.Glob(filepath.Join(dir, "milletramp-*"))
	if err != nil || len(folders) != 1 {
		t.Fatalf("folders %v, error %v", folders, err)
	}
	if err := os.Rename(folders[0], folders[0]+"-away"); err != nil {
		t.Fatal(err)
	}
	if _, err := p.operator.SetAdminDown(context.Background(), "s-1", true, false); err == nil {
		t.Error("a call that the next process would not see is answered with yes")
	}
	for range 20 {
		if got := p.Send("read"); got.Status != 200 || got.Body != "three" {
			t.Fatalf("response %+v while the folder is away", got)
		}
	}
	if err := os.Rename(folders[0]+"-away", folders[0]); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testserver.Timeout); !slices.Equal(sees(), []string{"s-0", "s-1"}); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the next process sees %v", sees())
		}
	}
}
