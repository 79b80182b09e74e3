package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/platform/platformtest"
)

// Last parts of addresses in a network. Nodes have those from 1 on.
const (
	workersHost     = 253
	reservationHost = 254
	// firstWorkerPort is the port of the first worker on workersHost, below the ports of outgoing
	// connections.
	firstWorkerPort = 10000
)

// network is a network of loopback addresses that no other run uses. On 127.0.0.1 an outgoing
// connection could take the port of a node that is down.
type network struct {
	prefix      string // the first three parts of the addresses, with a dot
	reservation net.Listener
}

// reserveNetwork reserves a network, with a prefix of the given length unless that is 0.
func reserveNetwork(length int) (network, error) {
	const networks = 200 * 250
	err := model.Errorf(model.KindUnavailable, "end other runs of the soak", "no network of loopback addresses is free")
	for i := range networks {
		k := (os.Getpid() + i) % networks
		n := network{prefix: fmt.Sprintf("127.%d.%d.", 16+k%200, k/200)}
		if length > 0 && len(n.prefix) != length {
			continue
		}
		var busy error
		if n.reservation, busy = net.Listen("tcp", fmt.Sprintf("%s:%d", n.host(reservationHost), portReservation)); busy == nil {
			return n, nil
		}
	}
	return network{}, err
}

func (n network) host(last int) string { return fmt.Sprint(n.prefix, last) }

func (n network) peerAddr(node int) string {
	return fmt.Sprintf("%s:%d", n.host(node+1), portPeers)
}

func (n network) workerAddr(worker int) string {
	return fmt.Sprintf("%s:%d", n.host(workersHost), firstWorkerPort+worker)
}

// dataCentreLinks are the links over which the nodes of a data centre reach the rest. Addresses in
// the rows that the nodes read are translated to a network of the data centre's own, where a proxy
// stands for each worker and each peer. The nodes themselves need not know of it.
type dataCentreLinks struct {
	network network
	store   *platformtest.Store
	workers []*proxy
	peers   []*proxy
}

// linkDataCentres makes the links of all data centres. They lead straight to the workers, whose own
// proxies only stand for the addresses in their entries.
func (c *cluster) linkDataCentres(nodes int) error {
	for range zones {
		// Prefixes of one length keep the lengths of values, which their encodings contain.
		own, err := reserveNetwork(len(c.network.prefix))
		if err != nil {
			return err
		}
		l := &dataCentreLinks{network: own, store: platformtest.NewStore(c.storeAccess)}
		c.links = append(c.links, l)
		l.store.Translate = func(value []byte) []byte { return c.translate(value, own) }
		for i, w := range c.workers {
			if l.workers, err = appendProxy(l.workers, own.workerAddr(i), w.runner.Listener.Addr().String()); err != nil {
				return err
			}
		}
		for i := range nodes {
			if l.peers, err = appendProxy(l.peers, own.peerAddr(i), c.network.peerAddr(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func appendProxy(proxies []*proxy, address, target string) ([]*proxy, error) {
	p, err := newProxy(address, target)
	if err != nil {
		return proxies, err
	}
	return append(proxies, p), nil
}

// translate returns a value with all addresses of the run in one network. A node writes the
// addresses that it has read, and its own.
func (c *cluster) translate(value []byte, to network) []byte {
	value = translatePrefix(value, c.network, to)
	for _, l := range c.links {
		value = translatePrefix(value, l.network, to)
	}
	return value
}

func translatePrefix(value []byte, from, to network) []byte {
	if from.prefix == to.prefix || !bytes.Contains(value, []byte(from.prefix)) {
		return value
	}
	return bytes.ReplaceAll(value, []byte(from.prefix), []byte(to.prefix))
}

func (l *dataCentreLinks) close() {
	for _, p := range append(l.workers, l.peers...) {
		p.close()
	}
	_ = l.network.reservation.Close()
	l.store.CloseClientConnections()
	_ = l.store.Config.Close()
}
