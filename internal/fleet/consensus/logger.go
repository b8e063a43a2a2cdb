package consensus

import (
	"context"
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3/raftpb"
)

// raftLogger passes on what Raft says.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) write(level slog.Level, text string) {
	l.log.Log(context.Background(), level, text)
}

func (l raftLogger) Debug(v ...any)            { l.write(slog.LevelDebug, fmt.Sprint(v...)) }
func (l raftLogger) Debugf(f string, v ...any) { l.write(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (l raftLogger) Error(v ...any)            { l.write(slog.LevelError, fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any) { l.write(slog.LevelError, fmt.Sprintf(f, v...)) }
func (l raftLogger) Info(v ...any)             { l.write(slog.LevelDebug, fmt.Sprint(v...)) }
func (l raftLogger) Infof(f string, v ...any)  { l.write(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (l raftLogger) Warning(v ...any)          { l.write(slog.LevelWarn, fmt.Sprint(v...)) }
func (l raftLogger) Warningf(f string, v ...any) {
	l.write(slog.LevelWarn, fmt.Sprintf(f, v...))
}
func (l raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// index is an entry's place in the log, and snapshotIndex that of the last entry that a snapshot stands for.
func index(e raftpb.Entry) uint64 { return e.Index }

func snapshotIndex(s raftpb.Snapshot) uint64 { return s.Metadata.Index }
