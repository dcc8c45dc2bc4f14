package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Status of the process.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// site holds the bounds of a deployment that the settings of an entry VM take.
type site struct {
	applyMS, evacuateMS, memoryMB int
	slack                         float64
	// regions has DOMAIN=REGION, as the settings have it.
	regions string
}

// vm is the process of one entry VM.
type vm struct {
	name                   string
	listen, control, ready string
	settings, log          string
	command                *exec.Cmd
	ended                  chan struct{}
}

var (
	startedMutex sync.Mutex
	started      []*vm
)

// endAll kills the processes that were started.
func endAll() {
	startedMutex.Lock()
	defer startedMutex.Unlock()
	for _, v := range started {
		if v.command.Process != nil {
			_ = v.command.Process.Kill()
			<-v.ended
		}
	}
	started = nil
}

// The ports of entry VMs are below those that the kernel gives to connections.
const (
	firstPort = 12000
	ports     = 18000
)

// freeAddress returns an address at which nothing listens.
func freeAddress() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		l, err := net.Listen("tcp", a)
		if err == nil {
			_ = l.Close()
			return a
		}
	}
}

// startVMs starts one entry VM in each of the zones, with the settings that deploy/settings.ini gives and a link
// of its own to the store.
func startVMs(root, folder, storeAddress string, s site, zones []string) ([]*vm, []*lossyLink) {
	var l []*vm
	var links []*lossyLink
	var seeds []string
	for i, z := range zones {
		v := &vm{name: fmt.Sprintf("front-%s-%d", z, i+1), listen: freeAddress(), control: freeAddress(), ready: freeAddress()}
		l = append(l, v)
		seeds = append(seeds, v.control)
	}
	for i, v := range l {
		p := newLossyLink(storeAddress)
		links = append(links, p)
		v.settings = filepath.Join(folder, v.name+".ini")
		v.log = filepath.Join(folder, v.name+".log")
		text := fmt.Sprintf(`[node]
name = %s
domain = %s
listen = %s
control = %s

[platform]
wire = hosted
address = %s

[gateway]
ready = %s
seeds = %s
link_mbps = 1000
link_share = 0.75
cpu_share = 0.4
grace_s = 8
apply_ms = %d
first_start = true
close_ms = %d
exposure_share = 0
rollback_ms = 0
regions = %s
memory_mb = %d
retry_ratio = 0.2
retry_window_s = 10
retry_slack = %g
relay_ms = 100
server_pause_ms = 1500
`, v.name, zones[i], v.listen, v.control, p.address, v.ready, strings.Join(seeds, ","), s.applyMS, s.evacuateMS, s.regions, s.memoryMB, s.slack)
		check(os.WriteFile(v.settings, []byte(text), 0o600))
		v.start(root)
	}
	for _, v := range l {
		v.awaitReady()
	}
	return l, links
}

func (v *vm) start(root string) {
	f, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c := exec.Command(filepath.Join(root, "target", "wardridge"), v.settings)
	c.Stdout, c.Stderr, c.Dir = f, f, root
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	check(c.Start())
	v.command, v.ended = c, make(chan struct{})
	background.Go(func() {
		_ = c.Wait()
		_ = f.Close()
		close(v.ended)
	})
	startedMutex.Lock()
	defer startedMutex.Unlock()
	started = append(started, v)
}

// awaitReady waits until the entry VM calls itself ready.
func (v *vm) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + v.ready + "/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	check(fmt.Errorf("%s is not ready in 20 s", v.name))
}
