package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// command returns the common fields of a command from the flags. The defaults are a
// new request id and the sequence of view.
func (p *Program) command(a commandArgs, view adminapi.ViewReply) adminapi.Command {
	cmd := adminapi.Command{RequestID: a.RequestID, SeenSequence: a.Seen}
	if cmd.RequestID == "" {
		cmd.RequestID = p.newID()
	}
	if cmd.SeenSequence == 0 {
		cmd.SeenSequence = view.Sequence
	}
	return cmd
}

// view reads the control view from the first node that responds.
func (p *Program) view(ctx context.Context) (adminapi.ViewReply, error) {
	var view adminapi.ViewReply
	err := p.client.getAny(ctx, "view", &view)
	return view, err
}

// run sends a command to the nodes in turn until one returns a conclusive result. The
// command has the same request id each time, so that it takes effect at most once.
// When a response is lost, it searches the history before it tries the next node.
func (p *Program) run(ctx context.Context, path string, cmd adminapi.Command, body any) (adminapi.CommandReply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return adminapi.CommandReply{}, err
	}
	var last, unknown error
	for _, node := range p.client.nodes {
		reply, err := p.sendCommand(ctx, node, path, data)
		if isConclusive(err, unknown) {
			return reply, err
		}
		last = err
		if !model.IsKind(err, model.KindUnknown) {
			continue
		}
		unknown = err
		if reply, found := p.findCommand(ctx, cmd); found {
			return reply, nil
		}
	}
	if unknown != nil {
		return adminapi.CommandReply{}, model.Wrap(model.KindUnknown, unknown,
			"run vpier history --find-request "+cmd.RequestID+", or repeat the command with --request-id "+cmd.RequestID+" --seen "+strconv.FormatUint(cmd.SeenSequence, 10),
			"the result is not known")
	}
	return adminapi.CommandReply{}, allNodesFailed(len(p.client.nodes), last)
}

// sendCommand sends a command to one node.
func (p *Program) sendCommand(ctx context.Context, node, path string, body []byte) (adminapi.CommandReply, error) {
	var reply adminapi.CommandReply
	res, err := p.client.send(ctx, node, p.client.admin(http.MethodPost, path, body))
	if err != nil {
		return reply, err
	}
	return reply, decodeReply(node, http.MethodPost, res, &reply)
}

// findCommand searches the nodes' history for the command. A missing record proves
// nothing, because the write may still be in flight.
func (p *Program) findCommand(ctx context.Context, cmd adminapi.Command) (adminapi.CommandReply, bool) {
	query := url.Values{"request_id": {cmd.RequestID}, "from": {strconv.FormatUint(cmd.SeenSequence+1, 10)}}
	for _, node := range p.client.nodes {
		var history adminapi.HistoryReply
		if err := p.client.get(ctx, node, "history?"+query.Encode(), &history); err != nil {
			continue
		}
		if len(history.Entries) > 0 {
			entry := history.Entries[0]
			return adminapi.CommandReply{Sequence: entry.Sequence, Digest: adminapi.DigestOf(entry.Record), Actor: entry.Record.Actor}, true
		}
	}
	return adminapi.CommandReply{}, false
}
