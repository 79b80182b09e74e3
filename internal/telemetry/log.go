// Package telemetry sets up JSON logs and metrics and writes the decision log, which has one
// line for each routing or placement decision.
package telemetry

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// NewLogger returns a logger that writes JSON lines of at least the given level (debug, info,
// warning or error) to out and adds the node ID to each line.
func NewLogger(out io.Writer, level string, node model.NodeID) (*logrus.Entry, error) {
	lvl, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "use debug, info, warning or error", "log level %q", level)
	}
	l := logrus.New()
	l.SetOutput(out)
	l.SetLevel(lvl)
	l.SetFormatter(lineFormatter{})
	return l.WithField("node", string(node)), nil
}

// Kinds of the decisions from which package logtrace builds a trace.
const (
	// KindOrder is an accepted job; its fields describe the tasks.
	KindOrder = "order"
	// KindCancel is a cancelled job.
	KindCancel = "cancel"
	// KindPlace is the placement of a task on a worker.
	KindPlace = "place"
	// KindEnd is the end of an attempt. The reason is its outcome.
	KindEnd = "end"
	// KindDataCentre is a data centre that is taken out of service or returned.
	KindDataCentre = "data-centre"
)

// Choices of KindDataCentre.
const (
	ChoiceOut = "out"
	ChoiceIn  = "in"
)

// Decision is one routing or placement decision.
type Decision struct {
	// Kind is the kind of decision: route, place, evict, throttle, refuse, hedge, retry, move
	// and others.
	Kind string
	// Subject is the ID of the request or task that the decision is about.
	Subject string
	// Candidates is the number of candidates.
	Candidates int
	// Choice is the chosen runner, worker or outcome. It is empty when nothing was chosen.
	Choice string
	// Reason is a short code in kebab case, such as least-expected-completion.
	Reason string
	// Fields holds additional log fields.
	Fields logrus.Fields
}

// DecisionLogger is called once for each decision. Implementations are safe for concurrent
// use.
type DecisionLogger interface {
	LogDecision(d Decision)
}

// LogrusDecisions writes decisions as JSON lines at level info.
type LogrusDecisions struct{ Log *logrus.Entry }

// LogDecision writes d as one line.
func (l LogrusDecisions) LogDecision(d Decision) {
	entry := l.Log
	if len(d.Fields) > 0 {
		entry = entry.WithFields(d.Fields)
	}
	entry.WithFields(logrus.Fields{
		"decision":   d.Kind,
		"subject":    d.Subject,
		"candidates": d.Candidates,
		"choice":     d.Choice,
		"reason":     d.Reason,
	}).Info("decision")
}

// Discard drops decisions. It is used by tests and replays.
type Discard struct{}

// LogDecision does nothing.
func (Discard) LogDecision(Decision) {}
