package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/standin"
)

const (
	answerTime  = 5 * time.Millisecond
	readyWithin = 30 * time.Second
	stopWithin  = 10 * time.Second
	sampleEvery = 100 * time.Millisecond
	kinds       = 2
	ordinal     = 7 // of the sidecar among its peers

	bytesPerKB = 1000
)

// Run measures all cases side by side: each has servers, discovery and a sidecar of its own.
func Run(ctx context.Context, opt Options) (Result, error) {
	res := Result{Cases: opt.Cases, Figures: make([]Figures, len(opt.Cases))}
	failed := make([]error, len(opt.Cases))
	var all sync.WaitGroup
	for i := range opt.Cases {
		all.Add(1)
		go func() {
			defer all.Done()
			d := &measurement{opt: opt, number: i, servers: opt.Cases[i].Servers, peers: opt.Cases[i].Peers,
				rng: rand.New(rand.NewPCG(1, uint64(i))), origins: standin.NewOrigins(answerTime)}
			if err := d.run(ctx); err != nil {
				failed[i] = fmt.Errorf("%d servers, %d sidecars: %w", d.servers, d.peers, err)
			}
			res.Figures[i] = d.figures
		}()
	}
	all.Wait()
	return res, errors.Join(failed...)
}

// server is one stand-in server.
type server struct {
	entry    standin.Entry
	listener net.Listener
}

// measurement is the measurement of one case.
type measurement struct {
	opt            Options
	number         int
	servers, peers int
	rng            *rand.Rand
	origins        *standin.Origins
	discovery      *standin.Discovery
	live           []server
	started        int // servers so far
	address        string
	figures        Figures
}

func (d *measurement) run(ctx context.Context) error {
	defer d.close()
	for range d.servers {
		s, err := d.startServer(0)
		if err != nil {
			return err
		}
		d.live = append(d.live, s)
	}
	var first []standin.Entry
	for _, s := range d.live {
		first = append(first, s.entry)
	}
	var err error
	d.discovery, err = standin.NewDiscovery(0, first, standin.NewLog(), func(string) int32 { return 0 })
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	defer os.RemoveAll(dir) // a leftover harms nobody
	return d.measure(ctx, dir)
}

// startServer starts a server, whose entry says when it booted; 0: long ago.
func (d *measurement) startServer(boot int64) (server, error) {
	n := d.started
	d.started++
	l, err := d.origins.Listen(fmt.Sprintf("127.%d.%d.%d:0", 40+d.number, n/200, 1+n%200))
	if err != nil {
		return server{}, err
	}
	zone, kind := n%d.opt.Zones, n/d.opt.Zones%kinds
	return server{listener: l, entry: standin.Entry{
		UID:      fmt.Sprintf("server-%05d", n),
		Endpoint: l.Addr().String(),
		AZ:       zoneName(zone),
		Model:    kindName(kind),
		PodGroup: zone,
		State:    "SERVING",
		Capacity: 1,
		BootMS:   boot,
	}}, nil
}

func zoneName(i int) string { return "zone-" + strconv.Itoa(i) }
func kindName(i int) string { return "kind-" + strconv.Itoa(i) }

func (d *measurement) close() {
	d.origins.Close()
	if d.discovery != nil {
		d.discovery.Close()
	}
}

// measure runs a sidecar while requests come and servers are replaced.
func (d *measurement) measure(ctx context.Context, dir string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sidecar, err := d.startSidecar(ctx, dir)
	if err != nil {
		return err
	}
	defer func() { cancel(); _ = sidecar.Wait() }() // where it has not been waited for
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	if err := d.observe(ctx, sidecar.Process.Pid); err != nil {
		return err
	}
	if err := stopSidecar(sidecar, cancel); err != nil {
		return err
	}
	d.figures.CPU = (sidecar.ProcessState.UserTime() + sidecar.ProcessState.SystemTime()).Seconds()
	d.figures.Connections = float64(d.origins.Connections())
	d.figures.Lists = float64(d.discovery.Written()) / bytesPerKB
	return nil
}

// startSidecar starts the sidecar on a free address, with its configuration in a folder.
func (d *measurement) startSidecar(ctx context.Context, dir string) (*exec.Cmd, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	d.address = free.Addr().String()
	_ = free.Close()
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, d.config(), 0o600); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	sidecar := exec.CommandContext(ctx, d.opt.Command[0], d.opt.Command[1:]...)
	sidecar.Env = append(os.Environ(), "PROXY_CONFIG="+file)
	if err := sidecar.Start(); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	return sidecar, nil
}

// observe makes the requests and replaces servers, and measures the sidecar's process meanwhile.
func (d *measurement) observe(ctx context.Context, pid int) error {
	sampled := d.sampleDescriptors(pid)
	var replacing sync.WaitGroup
	var replaced error
	replacing.Add(1)
	go func() {
		defer replacing.Done()
		replaced = d.replaceServers(ctx)
	}()
	d.figures.Served = d.sendRequests(ctx)
	replacing.Wait()
	d.figures.Descriptors = float64(sampled())
	memory, err := peakMemory(pid)
	d.figures.Memory = memory
	return errors.Join(replaced, err, ctx.Err())
}

// stopSidecar ends a sidecar by SIGTERM, or by cancelling its context if it takes too long.
func stopSidecar(sidecar *exec.Cmd, cancel context.CancelFunc) error {
	if err := sidecar.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	kill := time.AfterFunc(stopWithin, cancel)
	defer kill.Stop()
	if err := sidecar.Wait(); err != nil {
		return fmt.Errorf("sidecar after SIGTERM: %w", err)
	}
	return nil
}

// waitReady waits until the sidecar says that it is.
func (d *measurement) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for {
		if status, err := get(ctx, client, "http://"+d.address+"/healthz", nil); err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("sidecar not ready: %w", ctx.Err())
		case <-poll.C:
		}
	}
}

// get makes a request and reads the answer whole.
func get(ctx context.Context, client *http.Client, url string, head http.Header) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	for key, values := range head {
		r.Header[key] = values
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errors.Join(err, resp.Body.Close())
}

// sendRequests makes the requests and returns the share of them that was served.
func (d *measurement) sendRequests(ctx context.Context) float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	every := time.NewTicker(time.Duration(float64(time.Second) / d.opt.Rate))
	defer every.Stop()
	var served atomic.Int64
	var out sync.WaitGroup
	n := int(d.opt.Length.Seconds() * d.opt.Rate)
	for i := range n {
		select {
		case <-every.C:
		case <-ctx.Done():
			return 0
		}
		out.Add(1)
		go func() {
			defer out.Done()
			status, err := get(ctx, client, "http://"+d.address+"/api", http.Header{"X-Priority-Class": {"read"},
				"X-Request-Id": {strconv.FormatInt(int64(i+1), 16)}, "X-Timeout-Ms": {"2000"}, "X-Cost": {"5000"}})
			if err == nil && status == http.StatusOK {
				served.Add(1)
			}
		}()
	}
	out.Wait()
	return float64(served.Load()) / float64(n)
}

// replaceServers replaces half of the servers, one by one and in random order. Discovery publishes each replacement in
// one message.
func (d *measurement) replaceServers(ctx context.Context) error {
	order := d.rng.Perm(len(d.live))[:len(d.live)/2]
	begun := time.Now()
	for i, at := range order {
		due := begun.Add(d.opt.Replace * time.Duration(i) / time.Duration(len(order)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		fresh, err := d.startServer(time.Now().UnixMilli())
		if err != nil {
			return err
		}
		gone := d.live[at]
		d.live[at] = fresh
		gone.entry.State = "DELETED"
		d.discovery.Publish(gone.entry, fresh.entry)
		_ = gone.listener.Close()
	}
	return nil
}

// sampleDescriptors counts the process's open descriptors from time to time. The function returned ends that, and
// returns the greatest count.
func (d *measurement) sampleDescriptors(pid int) func() int {
	end, most := make(chan struct{}), make(chan int)
	go func() {
		every := time.NewTicker(sampleEvery)
		defer every.Stop()
		for n := 0; ; {
			open, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
			if err == nil {
				n = max(n, len(open))
			}
			select {
			case <-every.C:
			case <-end:
				most <- n
				return
			}
		}
	}()
	return func() int {
		close(end)
		return <-most
	}
}

// peakMemory is the most resident memory in MB that a process has had.
func peakMemory(pid int) (float64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
			return float64(kB) / 1024, err
		}
	}
	return 0, errors.New("memory: the kernel tells no peak")
}

// config is the sidecar's configuration, in the platform's form.
func (d *measurement) config() []byte {
	type object = map[string]any
	var zones, models []string
	for i := range d.opt.Zones {
		zones = append(zones, zoneName(i))
	}
	for i := range kinds {
		models = append(models, kindName(i))
	}
	text, err := json.Marshal(object{
		"name":      "n" + strconv.Itoa(ordinal),
		"listen":    d.address,
		"discovery": d.discovery.Address(),
		"seed":      "8c1f30d27a5be964",
		"limits":    object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":     d.discovery.Snapshot(),
		"settings":  d.settings(zones, models),
	})
	if err != nil {
		panic(fmt.Sprintf("scale: a configuration that cannot be written: %v", err)) // it holds plain values only
	}
	return text
}

// settings are the balancer's settings in the configuration.
func (d *measurement) settings(zones, models []string) map[string]any {
	type object = map[string]any
	return object{
		"areas":         zones,
		"models":        models,
		"my_zone":       zones[0],
		"ordinal":       ordinal,
		"peers_total":   d.peers,
		"discovery":     "pushed",
		"tier":          0,
		"tiers":         []string{"scale"},
		"weight_source": "nominal",
		"worth_by":      "work",
		"request_classes": []object{{
			"name": "read", "effect": "idempotent", "group": "all", "aim_s": 0.5,
			"deadline_s": 2.0, "credit": 1.0, "window_s": 5.0,
		}},
		"tenants": []object{},
		"charges": object{"cross_zone": 0.03},
		"limits": object{
			"cancelling": true, "connect_timeout_s": 0.25, "idle_close_s": 15.0, "most_held": 20000,
			"second_copies": true, "streams_per_conn": 1, "try_limit": 3,
		},
		"rules": object{
			"cold_s": 9.0, "start_capacity": 0.3, "fall_multiple": 4.0, "fall_s": 1.5, "must_ask_in_s": 10,
		},
	}
}
