package platform

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// SetVM adds or replaces a VM. The VM list shows the change after VMListLag.
func (s *Server) SetVM(v api.VM) {
	s.updateVMList(v.Name, &v)
}

// RemoveVM removes a VM. The VM list shows the change after VMListLag.
func (s *Server) RemoveVM(n string) {
	s.updateVMList(n, nil)
}

func (s *Server) updateVMList(name string, v *api.VM) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var l []api.VM
	if n := len(s.vmLists); n > 0 {
		l = slices.Clone(s.vmLists[n-1].vms)
	}
	l = slices.DeleteFunc(l, func(x api.VM) bool { return x.Name == name })
	if v != nil {
		l = append(l, *v)
	}
	slices.SortFunc(l, func(a, b api.VM) int { return strings.Compare(a.Name, b.Name) })
	s.vmLists = append(s.vmLists, vmList{at: time.Now(), vms: l})
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := api.VMList{VMs: []api.VM{}}
	now := time.Now()
	for _, x := range s.vmLists {
		if now.Sub(x.at) >= s.vmListLag {
			l.VMs = x.vms
		}
	}
	wire.Write(w, http.StatusOK, l)
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var v api.VM
	if err := wire.Read(w, r, maxValueBytes, &v); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	v.Name = chi.URLParam(r, "name")
	s.SetVM(v)
	wire.Write(w, http.StatusOK, v)
}

func (s *Server) removeVM(w http.ResponseWriter, r *http.Request) {
	s.RemoveVM(chi.URLParam(r, "name"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := wire.Read(w, r, maxValueBytes, &f); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	s.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	wire.Write(w, http.StatusOK, s.Calls())
}
