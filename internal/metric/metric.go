package metric

import (
	"expvar"
	"net/http"
	"slices"
	"time"
)

// Name is the name of a variable as expvar exposes it.
type Name string

// Names of the variables.
const (
	RequestsTotal           Name = "requests_total"
	RequestsDone            Name = "requests_done_total"
	RequestsRefused         Name = "requests_refused_total"
	RequestsFailed          Name = "requests_failed_total"
	RequestsInFlight        Name = "requests_in_flight"
	RequestsWaiting         Name = "requests_waiting"
	PlacedWithoutAllocator  Name = "placed_alone_total"
	ServersBusy             Name = "servers_busy_total"
	ConnectionsThroughPeers Name = "connections_through_peers_total"
	RoomBorrowed            Name = "room_borrowed_total"
	ConnectionsRelayed      Name = "connections_relayed_total"
	TokensRelayed           Name = "tokens_relayed_total"
	FirstTokenMS            Name = "first_token_ms_total"
	FirstTokens             Name = "first_tokens_total"
	StallMS                 Name = "stall_ms_total"
	Preemptions             Name = "preemptions_seen_total"
	Resumes                 Name = "stream_resumes_total"
	RunsUnconfirmed         Name = "runs_unconfirmed_total"
	RunsListed              Name = "runs_listed_total"
	OrdersSuspended         Name = "orders_suspended_total"
	SilentStreams           Name = "streams_silent_total"
	MovesStarted            Name = "moves_begun_total"
	MovesCompleted          Name = "moves_done_total"
	HandoffsStarted         Name = "handoffs_begun_total"
	HandoffsCompleted       Name = "handoffs_done_total"
	HandoffsWithoutTarget   Name = "handoffs_without_target_total"
	Retries                 Name = "retries_total"
	ErrorsPassedOn          Name = "errors_passed_on_total"
	AnswersUnproven         Name = "answers_unproven_total"
	AnswersStrayed          Name = "answers_strayed_total"
	RequestsRepeated        Name = "requests_repeated_total"
	CallersGone             Name = "callers_gone_total"
	ClaimsMade              Name = "claims_made_total"
	ClaimsRefused           Name = "claims_refused_total"
	ClaimsReplayed          Name = "claims_replayed_total"
	ClaimAttemptsInMemory   Name = "claim_attempts_kept"
	OrdersSent              Name = "orders_sent_total"
	OrdersRefused           Name = "orders_refused_total"
	DomainsClosed           Name = "domains_closed"
	ContentsQuarantined     Name = "contents_quarantined_total"
	ConfigVersion           Name = "config_version"
	ConfigChanges           Name = "config_changes_total"
	ConfigFromPeers         Name = "config_from_peers_total"
	PlatformReads           Name = "platform_reads_total"
	PlatformWrites          Name = "platform_writes_total"
	PlatformWatches         Name = "platform_watches_total"
	PlatformFailures        Name = "platform_failures_total"
	PlatformRestores        Name = "platform_restores_total"
	LoadReports             Name = "load_reports_total"
	LoadReportsFailed       Name = "load_report_failures_total"
	HeartbeatsSent          Name = "heartbeats_sent_total"
	HeartbeatsFailed        Name = "heartbeat_failures_total"
	MembersServing          Name = "members_serving"
	ItemsDropped            Name = "ring_drops_total"
	ClockJumps              Name = "clock_jumps_total"
	SlowReaders             Name = "slow_readers_total"
	BodyBytes               Name = "body_bytes"
	RefusedForMemory        Name = "refused_for_memory_total"
	LinkSentBytes           Name = "link_sent_bytes_total"
	LinkReceivedBytes       Name = "link_received_bytes_total"
	LinkUse                 Name = "link_use_permille"
	ConnectionsTurnedAway   Name = "connections_turned_away_total"
)

// Kind describes one variable in the catalogue.
type Kind struct {
	Name Name
	Unit string
	Help string
}

// Catalogue lists all variables with a single value.
var Catalogue = []Kind{
	{RequestsTotal, "requests", "Requests that arrived."},
	{RequestsDone, "requests", "Requests answered completely."},
	{RequestsRefused, "requests", "Requests refused without being run."},
	{RequestsFailed, "requests", "Requests that failed after they ran or may have run."},
	{RequestsInFlight, "requests", "Requests in flight now."},
	{RequestsWaiting, "requests", "Requests waiting for an engine now."},
	{PlacedWithoutAllocator, "places", "Places at engines chosen locally because the VM that allocates them did not answer."},
	{ServersBusy, "requests", "Requests refused because all servers were at the limits that they had announced or had requested a backoff."},
	{ConnectionsThroughPeers, "connections", "Connections to backend servers that a peer made for this entry VM."},
	{RoomBorrowed, "answers", "Answers of allocators that lent this entry VM room at fragile servers beyond its equal share."},
	{ConnectionsRelayed, "connections", "Connections to backend servers that this entry VM made for a peer."},
	{TokensRelayed, "tokens", "Tokens delivered to callers."},
	{FirstTokenMS, "ms", "Sum of the times to the first token."},
	{FirstTokens, "requests", "Requests that got a first token."},
	{StallMS, "ms", "Sum of the gaps between tokens beyond 200 ms."},
	{Preemptions, "preemptions", "Preemptions that engines reported for finished generations."},
	{Resumes, "resumes", "Streams resumed on their engine."},
	{RunsUnconfirmed, "runs", "Runs that the server before has not confirmed to be over up to their deadlines, though their streams broke off there."},
	{OrdersSuspended, "runs", "Runs whose servers can't be reached, or confirm nothing, and are ordered to stop them once they give a sign of life."},
	{RunsListed, "runs", "Runs that a server reported although they had continued at another one."},
	{SilentStreams, "streams", "Times that a stream was silent for longer than usual, so that its server was queried."},
	{MovesStarted, "moves", "Moves of running generations that were started."},
	{MovesCompleted, "moves", "Moves of running generations that were completed."},
	{HandoffsStarted, "handoffs", "Handoffs of running generations that got a target; they count as moves too."},
	{HandoffsCompleted, "handoffs", "Handoffs of running generations that were completed; they count as moves too."},
	{HandoffsWithoutTarget, "questions", "Questions for the target of a handoff that were answered with none; the generation stays where it is."},
	{Retries, "attempts", "Attempts retried elsewhere."},
	{ErrorsPassedOn, "answers", "Error answers of backend servers that callers received for requests that may run at most once."},
	{AnswersStrayed, "answers", "Answers of backend servers to earlier requests, which arrived before the answer to the request that was sent and were skipped."},
	{RequestsRepeated, "requests", "Requests that may run at most once with the ID of an earlier one on this entry VM."},
	{AnswersUnproven, "answers", "Answers of backend servers with a status that promises that the request has not run, without proof of it, to requests that may run at most once."},
	{CallersGone, "requests", "Requests whose callers closed their connections."},
	{ClaimsMade, "claims", "Claims recorded before a send."},
	{ClaimsRefused, "claims", "Requests refused because of a claim."},
	{ClaimsReplayed, "claims", "Requests answered with a stored answer."},
	{ClaimAttemptsInMemory, "attempts", "Claimed attempts held in memory now."},
	{OrdersSent, "orders", "Orders that engines carried out."},
	{OrdersRefused, "orders", "Orders that failed or were refused."},
	{DomainsClosed, "domains", "Failure domains that operators have closed to new work."},
	{ContentsQuarantined, "contents", "Contents and parts of prompts quarantined because the servers that ran them ended; requests with them are refused."},
	{ConfigVersion, "version", "Version of the configuration in force."},
	{ConfigChanges, "changes", "Configuration changes that came into force."},
	{ConfigFromPeers, "lists", "Configurations received from a peer."},
	{PlatformReads, "calls", "Reads sent to the platform."},
	{PlatformWrites, "calls", "Writes sent to the platform."},
	{PlatformWatches, "calls", "Watches sent to the platform."},
	{PlatformFailures, "calls", "Platform calls that failed."},
	{PlatformRestores, "kinds", "Kinds of objects whose history began again because the platform was restored from a backup."},
	{LoadReports, "reports", "Load reports read."},
	{LoadReportsFailed, "reports", "Load reports that could not be read."},
	{HeartbeatsSent, "heartbeats", "Heartbeats sent to peers."},
	{HeartbeatsFailed, "heartbeats", "Heartbeats without an answer."},
	{MembersServing, "entry VMs", "Entry VMs that serve, including this one."},
	{ItemsDropped, "items", "Items dropped because a bounded queue between goroutines was full."},
	{ClockJumps, "jumps", "Times that this process did not run for an unusually long time."},
	{SlowReaders, "requests", "Requests ended because the caller read too slowly."},
	{BodyBytes, "bytes", "Memory that the bodies of requests and answers take now."},
	{RefusedForMemory, "requests", "Requests refused because there was no memory for their bodies."},
	{LinkSentBytes, "bytes", "Bytes sent over the network link of the VM, with estimated headers."},
	{LinkReceivedBytes, "bytes", "Bytes received over the network link of the VM, with estimated headers."},
	{LinkUse, "1/1000", "Part of the bandwidth of the VM in use over the last second, in the busier direction."},
	{ConnectionsTurnedAway, "connections", "Connections of callers closed unread, since the network link of the VM has no room for their requests."},
}

// latencyName is the name of the variable that holds the histograms.
const latencyName = "latency_ms"

// waitedName is the name of the variable that holds the histograms of waits.
const waitedName = "waited_ms"

// Groups lists the variables that hold more than one value. Their names are
// bounded; those beyond the bound count as "other".
var Groups = []Kind{
	{latencyName, "ms", "Latencies of requests by kind and outcome: count, p50, p95, p99, max."},
	{Name(ByWorkspace), "requests", "Requests by workspace and outcome."},
	{Name(ByServer), "attempts", "Attempts by backend server and outcome: served, full, failed, lost."},
	{Name(RefusedByWorkspace), "requests", "Requests refused without being run, by workspace and type of the refusal."},
	{Name(RefusedByRoute), "requests", "Requests refused without being run, by route and type of the refusal."},
	{Name(LateByWorkspace), "requests", "Requests answered late on a hosting platform, by workspace and cause: answer, first event, pause, pause in a move."},
	{Name(LateByRoute), "requests", "Requests answered late on a hosting platform, by route and cause."},
	{Name(CutOffByService), "requests", "Requests that arrived while this entry VM reached no server of their service itself and peers did, by service and outcome."},
	{Name(EngineClasses), "engines", "Engines of the failure domain by service and class, on the entry VM that allocates them: unknown, resilient, sensitive."},
	{Name(EngineRoles), "engines", "Engines of the failure domain by service and role, on the entry VM that allocates them: any, prefill, decode."},
	{waitedName, "ms", "Times that requests waited for a server on a hosting platform, by route: count, p50, p95, p99, max; a wait below 1 ms counts as 1 ms."},
}

// Set holds the variables of one entry VM.
type Set struct {
	vars      expvar.Map
	latencies *histograms
	waits     *histograms
	tallies   map[Label]*tally
}

// New creates a set with every variable at 0.
func New() *Set {
	s := &Set{latencies: newHistograms(), waits: newHistograms(), tallies: map[Label]*tally{ByServer: newTally(maxNames)}}
	for _, l := range slices.Concat(workspaceLabels, routeLabels, serviceLabels) {
		s.tallies[l] = newTally(maxConfiguredNames)
	}
	s.vars.Set(latencyName, s.latencies)
	s.vars.Set(waitedName, s.waits)
	for l, t := range s.tallies {
		s.vars.Set(string(l), t)
	}
	for _, k := range Catalogue {
		s.vars.Add(string(k.Name), 0)
	}
	return s
}

// Add increases a variable by d.
func (s *Set) Add(n Name, d int64) {
	s.vars.Add(string(n), d)
}

// Observe records how long a request of a kind took to reach an outcome.
func (s *Set) Observe(kind, outcome string, d time.Duration) {
	s.latencies.observe(kind+"/"+outcome, d)
}

// ObserveWait records how long a request of a route waited for a server.
func (s *Set) ObserveWait(route string, d time.Duration) {
	s.waits.observe(route, d)
}

// Count increases the count of an outcome of a name under a label; names beyond
// a bound are counted together.
func (s *Set) Count(l Label, name, outcome string) {
	s.tallies[l].count(name, outcome)
}

// SetCounts replaces the counts of a name under a label.
func (s *Set) SetCounts(l Label, name string, counts map[string]int64) {
	s.tallies[l].set(name, counts)
}

// Retain drops the names under a label for which keep returns false.
func (s *Set) Retain(l Label, keep func(name string) bool) {
	s.tallies[l].retain(keep)
}

// RetainWorkspaces drops the workspaces for which keep returns false.
func (s *Set) RetainWorkspaces(keep func(name string) bool) {
	for _, l := range workspaceLabels {
		s.Retain(l, keep)
	}
}

// RetainRoutes drops the routes for which keep returns false.
func (s *Set) RetainRoutes(keep func(name string) bool) {
	for _, l := range routeLabels {
		s.Retain(l, keep)
	}
	s.waits.retain(keep)
}

// Set sets a variable to v.
func (s *Set) Set(n Name, v int64) {
	if i, ok := s.vars.Get(string(n)).(*expvar.Int); ok {
		i.Set(v)
	}
}

// Get returns the value of a variable, 0 if there is none.
func (s *Set) Get(n Name) int64 {
	if i, ok := s.vars.Get(string(n)).(*expvar.Int); ok {
		return i.Value()
	}
	return 0
}

// ServeHTTP writes all variables as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected and needs no response.
	_, _ = w.Write([]byte(s.vars.String()))
}
