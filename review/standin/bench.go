package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench is the system under test with its stand-ins.
type bench struct {
	dir     string
	host    string
	store   *store
	vms     []*vm
	trouble bool
	started time.Time
	// background runs what goes on until the bench ends. It is not waited for.
	background sync.WaitGroup

	mutex  sync.Mutex
	record *os.File
	// engines holds the engines by address.
	engines map[string]*engine
	runs    map[string][]serverRun
	// handles counts the handles of copies, and used holds those that have served.
	handles int
	used    map[string]bool
	// mixed counts the runs that were continued from the memory of another request.
	mixed int
}

// serverRun is what a server did with a request.
type serverRun struct {
	request, server   string
	began, ended      time.Time
	from, made, total int
	how               string
	backup            string
}

// newBench creates a bench that writes what happens to a file.
func newBench(record string) (*bench, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	n := os.Getpid()
	b := &bench{
		dir: dir, host: net.IPv4(127, byte(1+n>>16), byte(n>>8), byte(1+n%250)).String(), store: newStore(), engines: map[string]*engine{},
		trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: f, runs: map[string][]serverRun{}, used: map[string]bool{},
	}
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	b.background.Go(func() {
		<-c
		b.close()
		os.Exit(notRun)
	})
	return b, nil
}

// close ends all processes that were started.
func (b *bench) close() {
	for _, v := range b.vms {
		v.close()
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// note writes a line to the record.
func (b *bench) note(format string, a ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f "+format+"\n", append([]any{time.Since(b.started).Seconds()}, a...)...)
}

// say writes a line to the record and to the standard output.
func (b *bench) say(format string, a ...any) {
	b.note(format, a...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(b.started).Seconds()}, a...)...)
}

func (b *bench) recordRun(r serverRun) {
	b.mutex.Lock()
	b.runs[r.request] = append(b.runs[r.request], r)
	b.mutex.Unlock()
	b.note("server %s ran %s from %.3f to %.3f s, events %d to %d of %d, backup %q: %s", r.server, r.request, r.began.Sub(b.started).Seconds(), r.ended.Sub(b.started).Seconds(), r.from, r.made, r.total, r.backup, r.how)
}

func (b *bench) addEngine(e *engine) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.engines[e.address] = e
}

// engineAt returns the engine at an address, nil if there is none.
func (b *bench) engineAt(address string) *engine {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.engines[address]
}

// handlePrefix begins each handle of a copy that an order made.
const handlePrefix = "h-"

// newHandle returns a handle that no copy had before.
func (b *bench) newHandle() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.handles++
	return fmt.Sprintf("%s%06x", handlePrefix, b.handles)
}

// useHandle reports whether a handle has not served before, and records that it does now. A backup has no
// handle of its own, but the id of its request.
func (b *bench) useHandle(h string) bool {
	if !strings.HasPrefix(h, handlePrefix) {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.used[h] {
		return false
	}
	b.used[h] = true
	return true
}

func (b *bench) addMixed() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.mixed++
}

// runsOf returns the runs of a request at servers.
func (b *bench) runsOf(id string) []serverRun {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]serverRun(nil), b.runs[id]...)
}

// listen listens on a free port of the bench's loopback address.
func (b *bench) listen() net.Listener {
	l, err := net.Listen("tcp", b.host+":0")
	if err != nil {
		panic(err)
	}
	return l
}

// vm is an entry VM: its settings, and the process that runs now.
type vm struct {
	bench                 *bench
	name                  string
	front, control, ready string
	settings, log         string
	mutex                 sync.Mutex
	process               *exec.Cmd
	done                  chan struct{}
	closed                bool
	// ends counts the ends of the process for its memory.
	ends int
}

// program is the program of the deploy file.
const program = "target/wardridge"

// startVMs starts the store and entry VMs, with settings as deploy/settings.ini gives them, and waits until
// the VMs are ready.
func (b *bench) startVMs(n int) error {
	b.store.put("config", "main", config())
	sl := b.listen()
	b.background.Go(func() { _ = http.Serve(sl, b.store) })
	storeAddress := sl.Addr().String()
	var addresses []string
	var ports []net.Listener
	for range 3 * n {
		l := b.listen()
		addresses, ports = append(addresses, l.Addr().String()), append(ports, l)
	}
	var seeds, regions []string
	for i := range min(n, 3) {
		seeds = append(seeds, addresses[3*i+1])
	}
	for _, z := range zones {
		regions = append(regions, z+"=guj-west")
	}
	for i := range n {
		v := &vm{bench: b, name: fmt.Sprintf("front-%d", i+1), front: addresses[3*i], control: addresses[3*i+1], ready: addresses[3*i+2]}
		v.settings, v.log = filepath.Join(b.dir, v.name+".ini"), filepath.Join(b.dir, v.name+".log")
		text := strings.Join([]string{
			"[node]", "name = " + v.name, "domain = " + zones[i%len(zones)], "listen = " + v.front, "control = " + v.control,
			"[platform]", "wire = hosted", "address = " + storeAddress,
			"[gateway]", "ready = " + v.ready, "seeds = " + strings.Join(seeds, ","), "link_mbps = 1000", "cpu_share = 0.4", "grace_s = 8", "apply_ms = 2000", "first_start = true",
			"close_ms = 0", "exposure_share = 0", "rollback_ms = 0", "regions = " + strings.Join(regions, ","), "memory_mb = " + strconv.Itoa(memoryMB),
			"retry_ratio = 0.2", "retry_window_s = 10", "retry_slack = 52", "relay_ms = 100", "server_pause_ms = 1500", "",
		}, "\n")
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return err
		}
		b.vms = append(b.vms, v)
	}
	for _, l := range ports {
		_ = l.Close()
	}
	return b.boot()
}

// boot starts the processes of all entry VMs and waits until they are ready.
func (b *bench) boot() error {
	for _, v := range b.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range b.vms {
		if !v.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	return nil
}

// start starts the process of the VM.
func (v *vm) start() error {
	f, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	c := exec.Command(program, v.settings)
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.process, v.done = c, make(chan struct{})
	done := v.done
	v.bench.background.Go(func() {
		_ = c.Wait()
		close(done)
	})
	v.bench.note("%s starts, process %d", v.name, c.Process.Pid)
	return nil
}

// stop sends SIGTERM, SIGKILL after the grace period, and waits for the end.
func (v *vm) stop(grace time.Duration) {
	v.mutex.Lock()
	c, done := v.process, v.done
	v.mutex.Unlock()
	v.bench.say("%s gets SIGTERM", v.name)
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
		v.bench.say("%s has ended by itself", v.name)
	case <-time.After(grace):
		_ = c.Process.Kill()
		<-done
		v.bench.say("%s was killed after the grace period", v.name)
	}
}

// limitMemory kills the process whenever it goes over the memory limit, as the platform does, and starts it
// again after a short delay.
func (v *vm) limitMemory() {
	for {
		time.Sleep(20 * time.Millisecond)
		n := v.rssMB()
		v.mutex.Lock()
		if v.closed {
			v.mutex.Unlock()
			return
		}
		if n <= memoryMB {
			v.mutex.Unlock()
			continue
		}
		_ = v.process.Process.Kill()
		<-v.done
		v.ends++
		v.mutex.Unlock()
		v.bench.say("%s is over its memory limit of %d MB with %d MB and ends", v.name, memoryMB, n)
		time.Sleep(500 * time.Millisecond)
		v.mutex.Lock()
		closed := v.closed
		v.mutex.Unlock()
		if closed || v.start() != nil {
			return
		}
	}
}

// close kills the process if it still runs.
func (v *vm) close() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.closed = true
	if v.process != nil {
		_ = v.process.Process.Kill()
		<-v.done
	}
}

// awaitReady waits until the VM's readiness check answers 200.
func (v *vm) awaitReady(limit time.Duration) bool {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := c.Get("http://" + v.ready + "/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// rssMB returns the resident memory of the VM's process in MB.
func (v *vm) rssMB() int {
	v.mutex.Lock()
	p := v.process.Process.Pid
	v.mutex.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p))
	if err != nil {
		return 0
	}
	for l := range strings.SplitSeq(string(b), "\n") {
		if x, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(x)[0])
			return n >> 10
		}
	}
	return 0
}

// Names and figures of the site that the scripts follow.
const (
	engineService, plainService = "lm-pool", "field-app"
	pathChat, pathDigest        = "/floor-chat/", "/log-digest/"
	pathAlarm                   = "/alarm-check/"
	memoryMB                    = 284
	grace                       = 8 * time.Second
)

var zones = []string{"naroda-hall", "sanand-hall", "vatva-hall"}

// config returns the operators' configuration.
func config() map[string]any {
	route := func(prefix, kind, service string, timeout, target, priority, attempts int) map[string]any {
		return map[string]any{
			"name": "r-" + strings.Trim(prefix, "/"), "host": "works.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": priority,
			"service": service, "maxAttempts": attempts, "allowAnonymous": false,
		}
	}
	chat := route(pathChat, "streaming", engineService, 39000, 1800, 1, 1)
	digest := route(pathDigest, "streaming", engineService, 6000, 1500, 0, 1)
	for _, r := range []map[string]any{chat, digest} {
		r["sticky"], r["resumable"], r["gap_aim_ms"] = true, false, 180
	}
	return map[string]any{
		"version": 7,
		"routes":  []any{chat, digest, route(pathAlarm, "unsafe", plainService, 600, 100, 2, 1)},
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/health", "maxConnections": 232, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kvCapacityTokens": 34305, "kvTokenBytes": 327680, "linkMbps": 47000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
				"pin_ms": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "mill", "apiKeys": []string{key}, "priority": 1}},
	}
}

// key is the key of the only tenant.
const key = "xd9dnn2ctnfzs989anu6"
