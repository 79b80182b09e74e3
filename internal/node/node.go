package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/dispatch"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/membership"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/owner"
	"github.com/vanillapier/vanillapier/internal/ownership"
	"github.com/vanillapier/vanillapier/internal/request"
	"github.com/vanillapier/vanillapier/internal/scheduler"
	"github.com/vanillapier/vanillapier/internal/share"
	"github.com/vanillapier/vanillapier/internal/storeclient"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Node is one vpierd process.
type Node struct {
	id       model.NodeID
	settings Settings
	log      *logrus.Entry
	metrics  *telemetry.Metrics

	hosts       *hostCache
	control     *control.Store
	owners      *ownership.Manager
	cells       *owner.Cells
	router      *owner.Router
	shares      *share.Manager
	chain       *request.Chain
	peers       *membership.Service
	epochs      *epochTable
	summaries   *summaryTable
	peerReports *peerTable

	// fetchMu is locked while control entries are read from a peer.
	fetchMu sync.Mutex
	// joined is true once this node's join record is durable, stopping from the start of the
	// graceful stop.
	joined   atomic.Bool
	stopping atomic.Bool
	// aborted is closed by Abort.
	aborted   chan struct{}
	abortOnce sync.Once

	callers, admin    *http.Server
	callerLn, adminLn net.Listener
	peerLn            net.Listener
	commands          chan command
	store             external.Table
	objects           external.Objects
	decisions         telemetry.DecisionLogger
	seed              uint64
	// digestCount counts the digests sent, to rotate the cells that they contain.
	digestCount atomic.Uint64
}

// New builds a node and opens its listeners, which Run serves. An error names the setting to
// change, and no listener stays open.
func New(settings Settings, log *logrus.Entry) (*Node, error) {
	settings.Provision()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		id: model.NodeID(settings.ID), settings: settings, log: log,
		metrics:     telemetry.NewMetrics(Version),
		epochs:      newEpochTable(),
		summaries:   newSummaryTable(),
		peerReports: newPeerTable(),
		commands:    make(chan command, commandQueueSize),
		aborted:     make(chan struct{}),
		decisions:   telemetry.LogrusDecisions{Log: log},
		seed:        settings.Seed,
	}
	if n.seed == 0 {
		n.seed = uint64(time.Now().UnixNano())
	}
	if err := n.build(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// build creates the parts of the node. The listeners come first, because the node advertises
// the address of the peer listener to its peers.
func (n *Node) build() error {
	if err := n.listen(); err != nil {
		return err
	}
	if n.settings.Advertise == "" {
		n.settings.Advertise = n.peerLn.Addr().String()
	}
	if err := n.buildState(); err != nil {
		return err
	}
	if err := n.buildTraffic(); err != nil {
		return err
	}
	if err := n.buildPeers(); err != nil {
		return err
	}
	n.metrics.Registry().MustRegister(newCollector(n), n.control.Collector(), n.owners.Collector())
	return n.buildServers()
}

// storeBreakerOpen is the time between two probes of a failing store. Urgent work must start
// within 1.4 s of the store's recovery, including the delay before a caller's retry. 8 nodes
// send at most 16 probes a second.
const storeBreakerOpen = 500 * time.Millisecond

// buildState creates the platform clients and the control and ownership layers.
func (n *Node) buildState() error {
	s := n.settings
	client := &http.Client{Transport: platformTransport(s.Source)}
	storeMetrics, err := storeclient.NewMetrics(n.metrics.Registry())
	if err != nil {
		return err
	}
	n.store, n.objects = storeclient.New(
		httpapi.NewTable(s.TableURL, client),
		httpapi.NewObjects(s.ObjectsURL, client),
		storeclient.Config{
			ReadsPerSecond: s.StoreReads, WritesPerSecond: s.StoreWrites,
			Timeout: s.StoreTimeout, Seed: n.seed, Observe: storeMetrics.Observe,
			BreakerOpen: storeBreakerOpen,
		},
	)
	n.hosts = newHostCache(httpapi.NewHostList(s.HostsURL, client), n.log)
	n.control = control.NewStore(control.Config{
		Node: n.id, Table: n.store, Objects: n.objects,
		Decode: decodeDeclaration, OnChange: n.viewChanged,
	})
	n.cells = owner.New(n.ownerConfig(httpapi.NewWorkers(client)))
	n.owners = ownership.New(ownership.Config{
		Node: n.id, Addr: s.Advertise, Table: n.store, Objects: n.objects,
		Lease: s.CellLease, Commit: journal.CommitterConfig{Interval: s.CommitEvery},
		Seed: n.seed, Decisions: n.decisions, Peers: n,
	}, n.cells)
	n.router = &owner.Router{Cells: n.cells, Owner: n.owners.Owner, Call: n.callPeer, Self: n.id}
	return nil
}

// decodeDeclaration parses the text of an accepted declaration.
func decodeDeclaration(text string) (*declaration.Declaration, error) {
	doc, err := declaration.Parse("declaration", []byte(text))
	if err != nil {
		return nil, err
	}
	return doc.Declaration, nil
}

func (n *Node) ownerConfig(workers external.WorkerAPI) owner.Config {
	return owner.Config{
		Node: n.id, Workers: workers,
		View:  n.control.View,
		Fresh: n.control.Fresh,
		Hosts: n.hosts.Hosts,
		OutageRenewal: func(id model.CellID, epoch model.Epoch) bool {
			return n.epochs.outageRenewalAllowed(id, epoch, time.Now())
		},
		EpochAcknowledged: n.epochs.isAcknowledged,
		Cells:             n.recentSummaries,
		Transfer:          n.transfer,
		CancelIn:          n.cancelIn,
		Scheduler:         scheduler.Config{},
		Dispatch:          dispatch.Config{TaskLease: n.settings.TaskLease, OwnershipLease: n.settings.CellLease},
		Decisions:         n.decisions, Metrics: n.metrics, Log: n.log,
	}
}

func (n *Node) recentSummaries() []scheduler.CellSummary { return n.summaries.recent(time.Now()) }

// callPeer calls a method of a peer. Layers that are built before the peer service refer to
// this function.
func (n *Node) callPeer(ctx context.Context, addr, method string, params, result any) error {
	return n.peers.Call(ctx, addr, method, params, result)
}

// buildTraffic creates the share manager and the filter chain for callers' requests.
func (n *Node) buildTraffic() error {
	n.shares = share.NewManager(share.Options{
		Node: n.id, View: n.control.View, HostRemoved: n.memberHostRemoved,
	})
	chain, err := request.New(request.Config{DrainDelay: n.settings.DrainWait}, request.Deps{
		View: n.control.View, Hosts: n.hosts.Hosts, Shares: n.shares,
		Claims: request.NewClaims(n.store), Objects: n.objects,
		Orders:    &orders{router: n.router, view: n.control.View, cells: n.recentSummaries, avoidUntil: map[model.CellID]time.Time{}},
		Decisions: n.decisions, Metrics: n.metrics.Registry(), Node: n.id, Seed: n.seed,
	})
	n.chain = chain
	return err
}

// memberHostRemoved reports whether the platform has removed a member's host.
func (n *Node) memberHostRemoved(id model.NodeID) bool {
	m, ok := n.control.View().Members[id]
	return ok && n.hosts.Removed(m.Addr)
}

// Run serves until ctx ends, then stops gracefully: it reports not ready, finishes requests in
// flight, releases the cells and ends the membership. It returns nil after a graceful stop.
func (n *Node) Run(ctx context.Context) error {
	defer n.closeListeners()
	defer n.cells.Close()
	return n.runGroup(ctx)
}

// transfer transfers a task to the owner of another cell.
func (n *Node) transfer(ctx context.Context, to model.CellID, in cell.TransferIn) error {
	return n.router.Transfer(ctx, to, in)
}

// cancelIn cancels a job in another cell.
func (n *Node) cancelIn(ctx context.Context, id model.CellID, job model.JobID) error {
	return n.router.CancelIn(ctx, id, job)
}
