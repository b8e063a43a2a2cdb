package consensus

import (
	"context"
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3/raftpb"
)

// logger passes on what Raft says.
type logger struct{ log *slog.Logger }

func (l logger) say(level slog.Level, text string) { l.log.Log(context.Background(), level, text) }

func (l logger) Debug(v ...any)            { l.say(slog.LevelDebug, fmt.Sprint(v...)) }
func (l logger) Debugf(f string, v ...any) { l.say(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (l logger) Error(v ...any)            { l.say(slog.LevelError, fmt.Sprint(v...)) }
func (l logger) Errorf(f string, v ...any) { l.say(slog.LevelError, fmt.Sprintf(f, v...)) }
func (l logger) Info(v ...any)             { l.say(slog.LevelDebug, fmt.Sprint(v...)) }
func (l logger) Infof(f string, v ...any)  { l.say(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (l logger) Warning(v ...any)          { l.say(slog.LevelWarn, fmt.Sprint(v...)) }
func (l logger) Warningf(f string, v ...any) {
	l.say(slog.LevelWarn, fmt.Sprintf(f, v...))
}
func (l logger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (l logger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (l logger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (l logger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// index is an entry's place in the log, and snapshotIndex that of the last entry that a snapshot stands for.
func index(e raftpb.Entry) uint64 { return e.Index }

func snapshotIndex(s raftpb.Snapshot) uint64 { return s.Metadata.Index }
