package objectapi

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// Client calls the object API of the platform.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// New creates a client of the platform at an address; the returned function closes
// its connections.
func New(address string, timeout time.Duration) (*Client, func()) {
	c, closer := wire.NewClient(timeout, true)
	return NewWithClient(c, address, timeout), closer
}

// NewWithClient creates a client of the platform at an address that sends its
// requests with an HTTP client.
func NewWithClient(c *http.Client, address string, timeout time.Duration) *Client {
	return &Client{base: "http://" + address + "/v1", http: c, timeout: timeout}
}

func (c *Client) objectURL(k api.ResourceKind, n string) string {
	return c.base + "/objects/" + url.PathEscape(string(k)) + "/" + url.PathEscape(n)
}

func (c *Client) call(ctx context.Context, what, method, u string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := wire.Call(ctx, c.http, method, u, in, out); err != nil {
		return oops.In("platform").Wrapf(err, "%s", what)
	}
	return nil
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, k api.ResourceKind, n string) (api.Object, error) {
	var o api.Object
	err := c.call(ctx, "reading "+string(k)+" "+n, http.MethodGet, c.objectURL(k, n), nil, &o)
	return o, err
}

// List reads all objects of the kinds and the version at which they were read.
func (c *Client) List(ctx context.Context, kinds []api.ResourceKind) (api.ObjectList, error) {
	var l objectList
	u := c.base + "/objects?kinds=" + joinKinds(kinds)
	err := c.call(ctx, "listing objects", http.MethodGet, u, nil, &l)
	return l.ObjectList, err
}

// Put writes an object if its current version is the one given in it; 0 means that
// it does not exist. A fault of OutcomeUnknown means that the write may have taken
// effect or may still do so.
func (c *Client) Put(ctx context.Context, o api.Object) (api.Object, error) {
	var n api.Object
	err := c.call(ctx, "writing "+string(o.Kind)+" "+o.Name, http.MethodPut, c.objectURL(o.Kind, o.Name), o, &n)
	return n, asOutcomeUnknown(err)
}

// Delete removes an object if its current version is v.
func (c *Client) Delete(ctx context.Context, k api.ResourceKind, n string, v api.Version) error {
	u := fmt.Sprintf("%s?version=%d", c.objectURL(k, n), v)
	return asOutcomeUnknown(c.call(ctx, "deleting "+string(k)+" "+n, http.MethodDelete, u, nil, nil))
}

// asOutcomeUnknown converts a response to a write that can't be decoded to a fault
// of OutcomeUnknown, as if the response had been lost.
func asOutcomeUnknown(err error) error {
	if fault.Has(err, fault.BadAnswer) {
		return fault.Wrap(fault.OutcomeUnknown, err, "the response to a write was lost")
	}
	return err
}

// Watch waits for changes of the kinds after a version, at most for the time wait.
// A response without changes still advances the version.
func (c *Client) Watch(ctx context.Context, from api.Version, wait time.Duration, kinds []api.ResourceKind) (api.ChangeList, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	u := fmt.Sprintf("%s/watch?from=%d&wait_ms=%d&kinds=%s", c.base, from, wait.Milliseconds(), joinKinds(kinds))
	var l changeList
	if err := wire.Call(ctx, c.http, http.MethodGet, u, nil, &l); err != nil {
		return l.ChangeList, oops.In("platform").Wrapf(err, "watching")
	}
	return l.ChangeList, nil
}

// VMs reads the list of VMs, which may be stale.
func (c *Client) VMs(ctx context.Context) ([]api.VM, error) {
	var l api.VMList
	err := c.call(ctx, "listing VMs", http.MethodGet, c.base+"/vms", nil, &l)
	return l.VMs, err
}

func joinKinds(kinds []api.ResourceKind) string {
	l := make([]string, 0, len(kinds))
	for _, k := range kinds {
		l = append(l, string(k))
	}
	return strings.Join(l, ",")
}

// maxReadBacks bounds the attempts to resolve one lost response.
const maxReadBacks = 5

// PutConfirmed writes an object like Put and resolves a lost response by reading the
// object back. It fails with OutcomeUnconfirmed only if maxReadBacks attempts do not
// resolve it.
func (c *Client) PutConfirmed(ctx context.Context, o api.Object) (api.Object, error) {
	n, err := c.Put(ctx, o)
	for range maxReadBacks {
		if !fault.Has(err, fault.OutcomeUnknown) {
			return n, err
		}
		n, err = c.resolveWrite(ctx, o)
	}
	if fault.Has(err, fault.OutcomeUnknown) {
		return n, fault.Wrap(fault.OutcomeUnconfirmed, err, "the write was sent and could not be read back")
	}
	return n, err
}

// resolveWrite determines the outcome of a write whose response was lost. A write that
// has not taken effect is sent again; its condition on the version ensures
// that it takes effect only once.
func (c *Client) resolveWrite(ctx context.Context, o api.Object) (api.Object, error) {
	n, err := c.Get(ctx, o.Kind, o.Name)
	if fault.Has(err, fault.NotFound) {
		n, err = api.Object{}, nil
	}
	if err != nil {
		return n, fault.Wrap(fault.OutcomeUnknown, err, "reading a lost write back")
	}
	if n.Version == o.Version {
		w, err := c.Put(ctx, o)
		if !fault.Has(err, fault.VersionConflict) {
			return w, err
		}
		// The lost write may have taken effect after the object was read back.
		if n, err = c.Get(ctx, o.Kind, o.Name); err != nil {
			return n, fault.Wrap(fault.OutcomeUnknown, err, "reading a lost write back")
		}
	}
	if n.Version > o.Version && api.SameJSON(n.Spec, o.Spec) {
		return n, nil
	}
	return n, fault.New(fault.VersionConflict, "the object has another version")
}
