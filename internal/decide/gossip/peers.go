package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// memberTimeout is how long after its last message a peer still counts as a live
	// member: several rounds of exchanges.
	memberTimeout = 2 * time.Second
	// mentionTimeout is how long after it was last named a member that was never contacted may
	// be chosen as a hub. It outlasts memberTimeout, so that members that lose all hubs still
	// know others when they notice.
	mentionTimeout = 6 * time.Second
	// addressTimeout is how long an address that does not answer is retried before it
	// is dropped. A VM that restarts answers again within that time.
	addressTimeout = 20 * time.Second
	// retryInterval is the time between attempts at an address that does not answer.
	retryInterval = time.Second
	// secondaryHubInterval is the time between a member's exchanges with a hub that is
	// not its primary one. They are frequent enough to know that the hub is alive when
	// the primary one fails.
	secondaryHubInterval = time.Second
	// seedSettleTime is how long after its start an entry VM exchanges with the seed addresses as often
	// as with those that do not answer: they may know few members yet.
	seedSettleTime = 20 * time.Second
	// listInterval is the minimum time between lists of members sent to one peer. All
	// peers get to know a hub that starts within two intervals.
	listInterval = 900 * time.Millisecond
	// seedInterval is the time between exchanges with an address from the settings
	// that needs no exchange for any other reason. They let separated parts of the
	// fleet find each other.
	seedInterval = 5 * time.Second
)

// Protocol is the version of the exchange protocol between entry VMs. Messages of
// any other version are refused.
const Protocol = 5

// Member describes an entry VM in the member lists that peers exchange.
type Member struct {
	Address string
	Domain  api.DomainName
	// Hub is set for hubs, which exchange with all other hubs.
	Hub bool
	// Capacity ranks the candidates for hubs; the highest ones are chosen.
	Capacity int
}

// Cost of one exchange in a domain of about 60 members. The ratio of the two
// constants decides how VMs rank.
const (
	// exchangeCPUSeconds is the processor time, in seconds.
	exchangeCPUSeconds = 0.00077
	// exchangeMbit is the size of both messages, in Mbit.
	exchangeMbit = 0.08
)

// Capacity is the number of exchanges per second that an entry VM with the given
// cores and link rate, in Mbit/s, could handle if it did nothing else.
func Capacity(cores, mbps float64) int {
	return int(min(cores/exchangeCPUSeconds, mbps/exchangeMbit))
}

// Message is what a peer reports of itself and of the members that it knows.
type Message struct {
	Member
	VM api.VMName
	// Members are the members that answer the peer.
	Members []Member
	// Direct is set while the platform itself answers the peer. Informed is set while
	// the peer gets changes from the platform itself or from a hub with Direct set.
	Direct, Informed bool
	// Silent is set while the platform has not answered the peer's own call in time, and
	// QueriesEngines while the peer queries the engines of its failure domain for all.
	Silent, QueriesEngines bool
	// FleetSize is the number of entry VMs that the peer counts, itself included.
	FleetSize int
	// CutOff is set while the peer reaches no backend server itself.
	CutOff bool
	// NoRoom is set while the peer's link has no room for more callers or relayed connections.
	NoRoom bool
}

// peer is the state of one address.
type peer struct {
	Message
	// seed is set for addresses from the settings, which are never dropped.
	seed       bool
	addedAt    time.Time
	receivedAt time.Time
	// directAt is when the peer last sent a message with Direct set, and lostAt when it first sent
	// one without after that.
	directAt, lostAt time.Time
	// listedAt is when the member list was last sent to the peer.
	listedAt time.Time
	// mentionedAt is when a message last named the address.
	mentionedAt time.Time
	attemptedAt time.Time
}

// Peers is what one entry VM knows of the others. In each failure domain the few
// members with the highest capacity are hubs. All other members exchange only with
// the hubs of their domain, so that the messages do not grow with the square of the
// fleet.
type Peers struct {
	self      Member
	startedAt time.Time
	maxHubs   int
	peers     map[string]*peer
	// cursor is the position in the own failure domain from which the next list of members
	// takes its sample.
	cursor int
	// view caches what follows from the peers; it is nil after a change of them.
	view *view
	// relayedAt is when a hub of this failure domain last reported that it is informed.
	relayedAt time.Time
	// stopping is set once this entry VM is about to end.
	stopping bool
	// unfollowedAt is when a hub of this failure domain last reported that no hub follows the platform,
	// and unfollowedSince the time since when that was so at this entry VM's last report.
	unfollowedAt, unfollowedSince time.Time
	// hubSince is when this entry VM last became a hub, zero while it is none.
	hubSince time.Time
}

// New creates the peers of an entry VM from the seed addresses in its settings. Each
// failure domain has the given number of hubs.
func New(now time.Time, self Member, seeds []string, hubs int) *Peers {
	p := &Peers{self: self, startedAt: now, maxHubs: hubs, peers: map[string]*peer{}}
	for _, a := range seeds {
		p.record(now, Member{Address: a})
		if x, ok := p.peers[a]; ok {
			x.seed = true
			x.mentionedAt = time.Time{}
		}
	}
	return p
}

// record records that a message names a member. What live peers report of themselves
// takes precedence over what others report of them.
func (p *Peers) record(now time.Time, m Member) {
	if m.Address == p.self.Address || m.Address == "" {
		return
	}
	x, ok := p.peers[m.Address]
	if !ok {
		x = &peer{addedAt: now}
		x.Member = m
		p.peers[m.Address] = x
	}
	if !ok || !p.alive(now, x) && (x.Member != m || !p.eligible(now, x)) {
		p.view = nil
	}
	x.mentionedAt = now
	if !p.alive(now, x) {
		x.Domain, x.Hub, x.Capacity = m.Domain, m.Hub, m.Capacity
	}
}

// Receive records a message from a peer and the members that it lists.
func (p *Peers) Receive(now time.Time, w Message) {
	if w.Address == p.self.Address || w.Address == "" {
		return
	}
	p.record(now, w.Member)
	x := p.peers[w.Address]
	if x.Member != w.Member || !p.alive(now, x) {
		p.view = nil
	}
	if x.Direct && !w.Direct {
		x.lostAt = now
	}
	x.Message = w
	x.Members = nil
	x.receivedAt = now
	if w.Direct {
		x.directAt = now
	}
	if w.Informed && w.Hub && w.Domain == p.self.Domain {
		p.relayedAt = now
	}
	for _, m := range w.Members {
		p.record(now, m)
	}
}

// alive reports whether a peer has sent a message within memberTimeout.
func (p *Peers) alive(now time.Time, x *peer) bool {
	return !x.receivedAt.IsZero() && now.Sub(x.receivedAt) < memberTimeout
}

// eligible reports whether a peer may be chosen as a hub: it is alive, or it was
// named within mentionTimeout and has not yet had time to fail to answer.
func (p *Peers) eligible(now time.Time, x *peer) bool {
	if p.alive(now, x) {
		return true
	}
	return !x.mentionedAt.IsZero() && now.Sub(x.mentionedAt) < mentionTimeout && (x.attemptedAt.IsZero() || x.attemptedAt.Before(x.addedAt.Add(retryInterval)))
}

// VM is the name of the VM at an address, empty until it has sent a message.
func (p *Peers) VM(address string) api.VMName {
	if x, ok := p.peers[address]; ok {
		return x.VM
	}
	return ""
}

// MembersFor lists live members to send to the peer at an address, or nothing if
// the last list is more recent than listInterval. The interval is tracked for each
// peer: with a common one, a peer whose exchanges always fall between two lists would
// never receive any.
func (p *Peers) MembersFor(now time.Time, address string) []Member {
	x, ok := p.peers[address]
	if ok && now.Sub(x.listedAt) < listInterval {
		return nil
	}
	if ok {
		x.listedAt = now
	}
	return p.listFor(now, x)
}

// Live lists the members that are alive, in order of address.
func (p *Peers) Live(now time.Time) []Member {
	var l []Member
	for _, x := range p.peers {
		if p.alive(now, x) {
			l = append(l, x.Member)
		}
	}
	slices.SortFunc(l, compareAddress)
	return l
}

// Contacts lists the peers that answer among those with which this entry VM exchanges messages regularly,
// in order of address: hubs, as a hub all members of its failure domain, and the seed addresses.
func (p *Peers) Contacts(now time.Time) []Member {
	hub := p.IsHub(now)
	var l []Member
	for _, x := range p.peers {
		near := x.Domain == p.self.Domain
		switch {
		case x.seed && !x.receivedAt.IsZero() && now.Sub(x.receivedAt) < seedInterval+memberTimeout,
			p.alive(now, x) && (near && (hub || x.Hub) || hub && x.Hub):
			l = append(l, x.Member)
		}
	}
	slices.SortFunc(l, compareAddress)
	return l
}

func compareAddress(a, b Member) int {
	return cmp.Compare(a.Address, b.Address)
}
