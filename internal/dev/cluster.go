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

// operatorName is the operator under which the run gives its commands.
const operatorName = "dev"

// cluster is the platform's stand-ins and the nodes of one run.
type cluster struct {
	platform *standin.Platform
	logs     io.Writer
	seed     uint64
	dcs      []model.DataCentre
	// tokens is the operators file, token what the run sends.
	tokens, token string

	mu    sync.Mutex
	nodes []*nodeProcess
	// killed holds the callers' addresses of the nodes that were killed.
	killed map[string]bool
}

// nodeProcess is one place for a node; a replacement takes the same place and
// address range.
type nodeProcess struct {
	index  int
	life   int
	node   *node.Node
	cancel context.CancelFunc
	// ended receives the result of Run.
	ended chan error
}

// shapeOf derives the stand-ins' shape from the declaration.
func shapeOf(d *declaration.Declaration, h Header, seed uint64) standin.Shape {
	shape := standin.Shape{Seed: seed, Interference: standin.Interference{}}
	for _, dc := range d.DataCentres {
		shape.DataCentres = append(shape.DataCentres, standin.DataCentreShape{
			Name: dc.Name, Racks: dc.Racks, WorkersPerRack: dc.WorkersPerRack, Capacity: dc.Worker.Resources(),
		})
	}
	for _, s := range d.Services {
		shape.Services = append(shape.Services, standin.ServiceShape{
			Name: s.Name, Runners: s.Runners, Slots: s.SlotsPerRunner, Connections: s.ConnectionsPerRunner,
			Time: standin.ServiceTime{Median: time.Duration(h.ServiceMedianMS * float64(time.Millisecond)), Sigma: h.ServiceSigma},
		})
		shape.Interference[s.Name] = h.Slowdown
	}
	return shape
}

// startCluster starts the stand-ins and the nodes. After an error nothing runs.
func startCluster(d *declaration.Declaration, h Header, nodes int, seed uint64, logs io.Writer) (*cluster, error) {
	c := &cluster{platform: standin.NewPlatform(shapeOf(d, h, seed)), logs: logs, seed: seed, killed: map[string]bool{}}
	for _, dc := range d.DataCentres {
		c.dcs = append(c.dcs, dc.Name)
	}
	if err := c.writeTokens(); err != nil {
		return nil, err
	}
	if err := c.platform.Start(); err != nil {
		return nil, err
	}
	for i := range nodes {
		c.nodes = append(c.nodes, &nodeProcess{index: i})
		if err := c.startNode(i); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// writeTokens creates the operators file in a temporary directory.
func (c *cluster) writeTokens() error {
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
	c.tokens = filepath.Join(dir, "operators")
	return os.WriteFile(c.tokens, []byte(operatorName+":"+hex.EncodeToString(sum[:])+"\n"), 0o600)
}

// hostIP returns the loopback address of a node's host. Each host has an address
// of its own; a replacement is another host.
func hostIP(p *nodeProcess) string { return fmt.Sprintf("127.0.%d.%d", p.life, p.index+1) }

// hostID returns the id of a node's host in the platform's list.
func hostID(p *nodeProcess) string { return fmt.Sprintf("entry-%d.%d", p.index+1, p.life) }

// startNode starts a node, or the replacement of one that has ended.
func (c *cluster) startNode(index int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.nodes[index]
	if p.cancel != nil {
		return model.Errorf(model.KindConflict, "stop it first", "node %d runs already", index+1)
	}
	p.life++
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

func (c *cluster) newNode(p *nodeProcess) (*node.Node, error) {
	id := model.NodeID(fmt.Sprintf("node-%d.%d", p.index+1, p.life))
	log, err := telemetry.NewLogger(c.logs, "info", id)
	if err != nil {
		return nil, err
	}
	ip := hostIP(p)
	settings := node.DefaultSettings()
	settings.ID, settings.DataCentre = string(id), string(c.dcs[p.index%len(c.dcs)])
	settings.Listen, settings.AdminBind, settings.PeerBind = ip+":0", ip+":0", ip+":0"
	settings.TableURL, settings.ObjectsURL, settings.HostsURL = c.platform.URL(), c.platform.URL(), c.platform.URL()
	settings.PeerPlaintext, settings.OperatorTokens = true, c.tokens
	settings.DrainWait = time.Second
	settings.Seed = c.seed + uint64(100*p.index+p.life)
	return node.New(settings, log)
}

// stopNode stops a node gracefully and returns once it has ended.
func (c *cluster) stopNode(index int) error {
	cancel, ended := c.take(index)
	if cancel == nil {
		return nil
	}
	cancel()
	return <-ended
}

// killNode ends a node without notice, as the death of its host does. The host
// list stops listing the host.
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

// wasKilled reports whether the node with this callers' address was killed.
func (c *cluster) wasKilled(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed[addr]
}

func (c *cluster) take(index int) (context.CancelFunc, chan error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.nodes[index]
	cancel := p.cancel
	p.cancel = nil
	return cancel, p.ended
}

// running returns the nodes that run, by place.
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

// close stops everything.
func (c *cluster) close() {
	var wg sync.WaitGroup
	for i := range c.nodes {
		wg.Go(func() { _ = c.stopNode(i) }) // the run is over; its result is known
	}
	wg.Wait()
	_ = c.platform.Close()
	_ = os.RemoveAll(filepath.Dir(c.tokens))
}
