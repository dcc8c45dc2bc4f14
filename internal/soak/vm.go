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

// vm is one entry VM with what stands around it.
type vm struct {
	place    int
	settings string
	log      string
	// callers is the proxy before it, store the one before the platform.
	callers  *proxy
	store    *proxy
	endpoint *hosted.Endpoint
	ready    string

	mutex   sync.Mutex
	process *process
	life    int
	// accepts is what the balancer last saw.
	accepts bool
}

// addVM starts an entry VM behind its proxies.
func (b *testbed) addVM(i int, a [3]string, seeds []string) error {
	v := &vm{place: i, endpoint: b.store.NewEndpoint(), ready: a[2]}
	name := fmt.Sprintf("vm-%d", i+1)
	v.settings, v.log = filepath.Join(b.Dir, name+".ini"), filepath.Join(b.Dir, name+".log")
	l, err := loopback.Listen()
	if err != nil {
		return err
	}
	s := &http.Server{Handler: b.Wire.StoreHandler(v.endpoint), ReadHeaderTimeout: time.Second}
	b.group.Go(func(context.Context) error {
		// It ends when the server is closed.
		_ = s.Serve(l)
		return nil
	})
	b.cleanups = append(b.cleanups, func() { _ = s.Close() })
	if v.store, err = b.addProxy(l.Addr().String()); err != nil {
		return err
	}
	if v.callers, err = b.addProxy(a[0]); err != nil {
		return err
	}
	text := fmt.Sprintf("[node]\nname = %s\ndomain = %s\nlisten = %s\ncontrol = %s\n[platform]\nwire = hosted\naddress = %s\n[gateway]\nready = %s\nseeds = %s\ngrace_s = %g\nclose_ms = %d\n",
		name, domainOf(i), a[0], a[1], v.store.address(), a[2], strings.Join(seeds, ","), stopGrace.Seconds(), closureDelay.Milliseconds())
	if err := os.WriteFile(v.settings, []byte(text), fileMode); err != nil {
		return fault.Wrap(fault.UnreadableFile, err, "writing settings")
	}
	b.vms = append(b.vms, v)
	b.cleanups = append(b.cleanups, v.kill)
	return b.boot(v, nil)
}

// boot starts a VM's process in the place of one that has ended, unless that
// was done already.
func (b *testbed) boot(v *vm, ended *process) error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.process != ended {
		return nil
	}
	p, err := start(b.group, b.Program, v.settings, v.log)
	if err != nil {
		return err
	}
	v.process = p
	v.life++
	return nil
}

// current is a VM's process.
func (v *vm) current() *process {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.process
}

// started reports whether the present process says that it has started; all of
// its lives write to one log.
func (v *vm) started() (bool, error) {
	v.mutex.Lock()
	life := v.life
	v.mutex.Unlock()
	b, err := os.ReadFile(v.log)
	if err != nil {
		return false, fault.Wrap(fault.UnreadableFile, err, "reading a log")
	}
	return bytes.Count(b, startedMark) >= life, nil
}

// startedMark is in the line that a program writes once it serves.
var startedMark = []byte(`"msg":"started"`)

func (v *vm) kill() {
	if p := v.current(); p != nil {
		p.kill()
	}
}
