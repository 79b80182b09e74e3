package dev

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/node"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// operatorName is the operator that sends the commands of a run.
const operatorName = "dev"

// cluster is the simulated platform and the nodes of a run.
type cluster struct {
	platform *standin.Platform
	logs     io.Writer
	seed     uint64
	dcs      []model.DataCentre
	// operatorsFile is the path of the operators file, token the token of operatorName.
	operatorsFile, token string

	mu    sync.Mutex
	nodes []*nodeSlot
	// killed holds the caller-facing addresses of the nodes that were killed.
	killed map[string]bool
}

// nodeSlot holds a node or its replacement, which has the next generation.
type nodeSlot struct {
	index      int
	generation int
	node       *node.Node
	cancel     context.CancelFunc
	// ended receives the result of node.Run.
	ended chan error
}

// platformConfig derives the configuration of the simulated platform from the
// declaration.
func platformConfig(d *declaration.Declaration, h Header, seed uint64) standin.PlatformConfig {
	shape := standin.PlatformConfig{Seed: seed, Interference: standin.Interference{}}
	for _, dc := range d.DataCentres {
		shape.DataCentres = append(shape.DataCentres, standin.DataCentreConfig{
			Name: dc.Name, Racks: dc.Racks, WorkersPerRack: dc.WorkersPerRack, Capacity: dc.Worker.Resources(),
		})
	}
	for _, s := range d.Services {
		shape.Services = append(shape.Services, standin.ServiceConfig{
			Name: s.Name, Runners: s.Runners, Slots: s.SlotsPerRunner, Connections: s.ConnectionsPerRunner,
			Time: standin.ServiceTime{Median: time.Duration(h.ServiceMedianMS * float64(time.Millisecond)), Sigma: h.ServiceSigma},
		})
		shape.Interference[s.Name] = h.Slowdown
	}
	return shape
}

// startCluster starts the simulated platform and the nodes. After an error nothing runs.
func startCluster(d *declaration.Declaration, h Header, nodes int, seed uint64, logs io.Writer) (*cluster, error) {
	c := &cluster{platform: standin.NewPlatform(platformConfig(d, h, seed)), logs: logs, seed: seed, killed: map[string]bool{}}
	for _, dc := range d.DataCentres {
		c.dcs = append(c.dcs, dc.Name)
	}
	if err := c.writeOperatorsFile(); err != nil {
		return nil, err
	}
	if err := c.platform.Start(); err != nil {
		return nil, err
	}
	for i := range nodes {
		c.nodes = append(c.nodes, &nodeSlot{index: i})
		if err := c.startNode(i); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// writeOperatorsFile creates the operators file in a temporary directory.
func (c *cluster) writeOperatorsFile() error {
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return err
	}
	c.token = hex.EncodeToString(raw[:])
	sum := sha256.Sum256([]byte(c.token))
	dir, err := os.MkdirTemp("", "vpier-dev-")
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "set TMPDIR to a writable directory", "operators file")
	}
	c.operatorsFile = filepath.Join(dir, "operators")
	return os.WriteFile(c.operatorsFile, []byte(operatorName+":"+hex.EncodeToString(sum[:])+"\n"), 0o600)
}

// hostIP returns the loopback address of a node's host. Each host has its own address; a
// replacement runs on a new host.
func hostIP(p *nodeSlot) string { return fmt.Sprintf("127.0.%d.%d", p.generation, p.index+1) }

// hostID returns the id of a node's host in the host list.
func hostID(p *nodeSlot) string { return fmt.Sprintf("entry-%d.%d", p.index+1, p.generation) }

// startNode starts a node, or the replacement of a node that was stopped or killed.
func (c *cluster) startNode(index int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.nodes[index]
	if p.cancel != nil {
		return model.Errorf(model.KindConflict, "stop it first", "node %d runs already", index+1)
	}
	p.generation++
	n, err := c.newNode(p)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	p.node, p.cancel, p.ended = n, cancel, ended
	c.platform.HostList().Set(external.Host{
		ID: hostID(p), Role: external.RoleEntry, State: external.HostLive, Addr: hostIP(p) + ":0",
		DataCentre: c.dcs[index%len(c.dcs)],
	})
	go func() { ended <- n.Run(ctx) }()
	return nil
}

func (c *cluster) newNode(p *nodeSlot) (*node.Node, error) {
	id := model.NodeID(fmt.Sprintf("node-%d.%d", p.index+1, p.generation))
	log, err := telemetry.NewLogger(c.logs, "info", id)
	if err != nil {
		return nil, err
	}
	ip := hostIP(p)
	settings := node.DefaultSettings()
	settings.ID, settings.DataCentre = string(id), string(c.dcs[p.index%len(c.dcs)])
	settings.Listen, settings.AdminBind, settings.PeerBind = ip+":0", ip+":0", ip+":0"
	settings.TableURL, settings.ObjectsURL, settings.HostsURL = c.platform.URL(), c.platform.URL(), c.platform.URL()
	settings.PeerPlaintext, settings.OperatorTokens = true, c.operatorsFile
	settings.DrainWait = time.Second
	settings.Seed = c.seed + uint64(100*p.index+p.generation)
	return node.New(settings, log)
}

// stopNode stops a node gracefully and waits for its end.
func (c *cluster) stopNode(index int) error {
	cancel, ended := c.detach(index)
	if cancel == nil {
		return nil
	}
	cancel()
	return <-ended
}

// killNode stops a node abruptly, to simulate a host failure, and removes its host from
// the host list.
func (c *cluster) killNode(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.nodes[index]
	if p.cancel == nil {
		return
	}
	callers, _, _ := p.node.Addrs()
	c.killed[callers] = true
	p.node.Abort()
	p.cancel = nil
	c.platform.HostList().Remove(hostID(p))
}

// wasKilled reports whether the node with this caller-facing address was killed.
func (c *cluster) wasKilled(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed[addr]
}

func (c *cluster) detach(index int) (context.CancelFunc, chan error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.nodes[index]
	cancel := p.cancel
	p.cancel = nil
	return cancel, p.ended
}

// running returns the running nodes in the order of their slots.
func (c *cluster) running() []*node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*node.Node
	for _, p := range c.nodes {
		if p.cancel != nil {
			out = append(out, p.node)
		}
	}
	return out
}

// close stops the nodes and the platform and removes the operators file.
func (c *cluster) close() {
	var wg sync.WaitGroup
	for i := range c.nodes {
		wg.Go(func() { _ = c.stopNode(i) }) // the result of the run does not depend on it
	}
	wg.Wait()
	_ = c.platform.Close()
	_ = os.RemoveAll(filepath.Dir(c.operatorsFile))
}
