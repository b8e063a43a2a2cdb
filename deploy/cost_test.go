package deploy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// cpu is the processor time in ticks that a process has taken.
func cpu(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest) // from the third on
	sum := 0.0
	for _, f := range fields[11:13] {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil {
			b.Fatal(err)
		}
		sum += n
	}
	return sum
}

// BenchmarkRequest measures what a plain request costs the built program, and where MILLETRAMP_BASE names the program of
// an older build, what it costs that one, in turn in one run.
func BenchmarkRequest(b *testing.B) {
	runs := []string{""}
	if base := os.Getenv("MILLETRAMP_BASE"); base != "" {
		base, err := filepath.Abs(base)
		if err != nil {
			b.Fatal(err)
		}
		runs = []string{"", "exec " + base}
	}
	for _, run := range runs {
		b.Run(map[bool]string{true: "built", false: "base"}[run == ""], func(b *testing.B) {
			s := newSite(b, 64, quick)
			p := s.started(run)
			defer p.stop()
			c, err := net.Dial("tcp", s.listen)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			in := bufio.NewReader(c)
			before := cpu(b, p.cmd.Process.Pid)
			b.ResetTimer()
			for n := range b.N {
				if _, err := fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: b-%d\r\nX-Priority-Class: read\r\nX-Timeout-Ms: 15000\r\n\r\n", n); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
					b.Fatal(resp.StatusCode, err)
				}
			}
			b.StopTimer()
			b.ReportMetric((cpu(b, p.cmd.Process.Pid)-before)*1e4/float64(b.N), "cpu-us/op") // a tick is 10 ms
		})
	}
}
