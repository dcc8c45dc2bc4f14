package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/loopback"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// vm is an entry VM with its proxies and its connection to the store.
type vm struct {
	index        int
	settingsPath string
	logPath      string
	// callerProxy is the proxy between callers and the VM, storeProxy the one between the
	// VM and the store.
	callerProxy  *proxy
	storeProxy   *proxy
	endpoint     *hosted.Endpoint
	readyAddress string

	mutex       sync.Mutex
	process     *process
	incarnation int
	// acceptsCallers is the result of the latest readiness check.
	acceptsCallers bool
}

// addVM starts an entry VM behind its proxies.
func (b *testbed) addVM(i int, a [3]string, seeds []string) error {
	v := &vm{index: i, endpoint: b.store.NewEndpoint(), readyAddress: a[2]}
	name := fmt.Sprintf("vm-%d", i+1)
	v.settingsPath, v.logPath = filepath.Join(b.Dir, name+".ini"), filepath.Join(b.Dir, name+".log")
	l, err := loopback.Listen()
	if err != nil {
		return err
	}
	s := &http.Server{Handler: b.Wire.StoreHandler(v.endpoint), ReadHeaderTimeout: time.Second}
	b.group.Go(func(context.Context) error {
		// Serve returns when the server is closed.
		_ = s.Serve(l)
		return nil
	})
	b.cleanups = append(b.cleanups, func() { _ = s.Close() })
	if v.storeProxy, err = b.addProxy(l.Addr().String()); err != nil {
		return err
	}
	if v.callerProxy, err = b.addProxy(a[0]); err != nil {
		return err
	}
	text := fmt.Sprintf("[node]\nname = %s\ndomain = %s\nlisten = %s\ncontrol = %s\n[platform]\nwire = hosted\naddress = %s\n[gateway]\nready = %s\nseeds = %s\ngrace_s = %g\nclose_ms = %d\nrelay_ms = 100\nserver_pause_ms = 1500\n",
		name, domainAt(i), a[0], a[1], v.storeProxy.address(), a[2], strings.Join(seeds, ","), stopGrace.Seconds(), closureDelay.Milliseconds())
	if b.boundsLinks {
		text += "link_mbps = 2\nlink_share = 0.75\n"
	}
	if err := os.WriteFile(v.settingsPath, []byte(text), fileMode); err != nil {
		return fault.Wrap(fault.UnreadableFile, err, "writing settings")
	}
	b.vms = append(b.vms, v)
	b.cleanups = append(b.cleanups, v.kill)
	return b.bootVM(v, nil)
}

// bootVM starts a VM's process in place of one that has ended, unless another one has
// replaced it already.
func (b *testbed) bootVM(v *vm, ended *process) error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.process != ended {
		return nil
	}
	p, err := startProcess(b.group, b.Program, v.settingsPath, v.logPath)
	if err != nil {
		return err
	}
	v.process = p
	v.incarnation++
	return nil
}

// current returns the current process of the VM.
func (v *vm) current() *process {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.process
}

// hasStarted reports whether the current process has logged its start; all incarnations
// append to one log.
func (v *vm) hasStarted() (bool, error) {
	v.mutex.Lock()
	incarnation := v.incarnation
	v.mutex.Unlock()
	b, err := os.ReadFile(v.logPath)
	if err != nil {
		return false, fault.Wrap(fault.UnreadableFile, err, "reading a log")
	}
	return bytes.Count(b, startedMark) >= incarnation, nil
}

// startedMark is contained in the line that a program logs once it serves.
var startedMark = []byte(`"msg":"started"`)

func (v *vm) kill() {
	if p := v.current(); p != nil {
		p.kill()
	}
}
