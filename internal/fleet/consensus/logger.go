package consensus

import (
	"context"
	"fmt"
	"log/slog"
)

// raftLogger implements raft.Logger on slog. It logs Raft's info messages at debug level, as they are meant for
// developers of Raft. Fatal and Panic report a violated invariant of Raft, and panic.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) write(level slog.Level, text string) {
	l.log.Log(context.Background(), level, text)
}

func (l raftLogger) Debug(v ...any) { l.write(slog.LevelDebug, fmt.Sprint(v...)) }
func (l raftLogger) Debugf(format string, v ...any) {
	l.write(slog.LevelDebug, fmt.Sprintf(format, v...))
}
func (l raftLogger) Info(v ...any) { l.write(slog.LevelDebug, fmt.Sprint(v...)) }
func (l raftLogger) Infof(format string, v ...any) {
	l.write(slog.LevelDebug, fmt.Sprintf(format, v...))
}
func (l raftLogger) Warning(v ...any) { l.write(slog.LevelWarn, fmt.Sprint(v...)) }
func (l raftLogger) Warningf(format string, v ...any) {
	l.write(slog.LevelWarn, fmt.Sprintf(format, v...))
}
func (l raftLogger) Error(v ...any) { l.write(slog.LevelError, fmt.Sprint(v...)) }
func (l raftLogger) Errorf(format string, v ...any) {
	l.write(slog.LevelError, fmt.Sprintf(format, v...))
}
func (l raftLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (l raftLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
