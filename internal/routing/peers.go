package routing

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// peerDecay is the age at which a peer's report counts for 1/e. Reports travel
	// by gossip, about one a second from each of two peers.
	peerDecay = 2 * time.Second
	// peerForget is the age after which a report is dropped.
	peerForget = 10 * time.Second
)

// PeerReport is what a peer observed at one runner.
type PeerReport struct {
	// Runner is the runner that the report is about.
	Runner model.RunnerID `json:"runner"`
	// InFlight is the peer's number of requests in execution there.
	InFlight int `json:"in_flight,omitempty"`
	// Mean is the peer's mean latency there; 0 when unknown.
	Mean time.Duration `json:"mean,omitempty"`
	// Out is true when the peer has backed off from the runner.
	Out bool `json:"out,omitempty"`
}

// peerReport is a report with the local time at which it was made.
type peerReport struct {
	node     model.NodeID
	at       time.Time
	inFlight int
	mean     time.Duration
	out      bool
}

// peerReports holds the latest report of each peer.
type peerReports []peerReport

// set replaces node's report.
func (p *peerReports) set(r peerReport) {
	for i := range *p {
		if (*p)[i].node == r.node {
			(*p)[i] = r
			return
		}
	}
	*p = append(*p, r)
}

// prune drops reports that are too old to matter.
func (p *peerReports) prune(now time.Time) {
	kept := (*p)[:0]
	for _, r := range *p {
		if now.Sub(r.at) < peerForget {
			kept = append(kept, r)
		}
	}
	*p = kept
}

// inFlight returns the peers' requests in execution, each weighted by its age.
func (p peerReports) inFlight(now time.Time) float64 {
	total := 0.0
	for _, r := range p {
		total += float64(r.inFlight) * ageWeight(now.Sub(r.at))
	}
	return total
}

// mean returns the peers' mean latency weighted by age, and the total weight.
func (p peerReports) mean(now time.Time) (mean, weight float64) {
	for _, r := range p {
		if r.mean <= 0 {
			continue
		}
		w := ageWeight(now.Sub(r.at))
		mean += w * float64(r.mean)
		weight += w
	}
	if weight > 0 {
		mean /= weight
	}
	return mean, weight
}

// ageWeight returns the weight of a report of the given age, between 0 and 1.
func ageWeight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(peerDecay))
}
