package routing

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// peerReportDecay is the age at which the weight of a peer's report is 1/e. Reports
	// arrive by gossip, about one a second from each of two peers.
	peerReportDecay = 2 * time.Second
	// peerReportTTL is the age after which a report is dropped.
	peerReportTTL = 10 * time.Second
)

// PeerReport is what a peer observed at one runner.
type PeerReport struct {
	// Runner is the runner that the report is about.
	Runner model.RunnerID `json:"runner"`
	// InFlight is the peer's number of requests in flight at the runner.
	InFlight int `json:"in_flight,omitempty"`
	// Mean is the peer's mean latency at the runner; 0 when unknown.
	Mean time.Duration `json:"mean,omitempty"`
	// BackedOff is true when the peer has backed off from the runner.
	BackedOff bool `json:"out,omitempty"`
}

// peerReport is a PeerReport with its sender and the local time at which it was made.
type peerReport struct {
	node      model.NodeID
	at        time.Time
	inFlight  int
	mean      time.Duration
	backedOff bool
}

// peerReports holds the latest report of each peer.
type peerReports []peerReport

// set adds r or replaces the previous report of the same peer.
func (p *peerReports) set(r peerReport) {
	for i := range *p {
		if (*p)[i].node == r.node {
			(*p)[i] = r
			return
		}
	}
	*p = append(*p, r)
}

// prune drops reports that are at least as old as peerReportTTL.
func (p *peerReports) prune(now time.Time) {
	kept := (*p)[:0]
	for _, r := range *p {
		if now.Sub(r.at) < peerReportTTL {
			kept = append(kept, r)
		}
	}
	*p = kept
}

// inFlight returns the sum of the peers' requests in flight, each report weighted by its age.
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
	return math.Exp(-float64(age) / float64(peerReportDecay))
}
