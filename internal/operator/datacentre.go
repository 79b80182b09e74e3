package operator

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// drain runs vpier drain.
func (p *Program) drain(ctx context.Context, a *drainArgs) error {
	reply, err := p.setDataCentreState(ctx, a.DataCentre, "out", a.Reason, a.commandArgs)
	if err != nil {
		return err
	}
	if a.Wait {
		if _, err := p.waitForSequence(ctx, a.waitArgs, reply.Sequence); err != nil {
			return err
		}
		if _, err := p.waitUntilDrained(ctx, a.waitArgs, model.DataCentre(a.DataCentre)); err != nil {
			return err
		}
	}
	return p.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "data centre %s is out of service as %d by %s\n", a.DataCentre, reply.Sequence, reply.Actor)
		if a.Wait {
			fmt.Fprintln(w, "no work is left there")
			return
		}
		fmt.Fprintf(w, "next: vpier status --wait --data-centre %s\n", a.DataCentre)
	})
}

// returnDataCentre runs vpier return.
func (p *Program) returnDataCentre(ctx context.Context, a *returnArgs) error {
	reply, err := p.setDataCentreState(ctx, a.DataCentre, "in", "", a.commandArgs)
	if err != nil {
		return err
	}
	if a.Wait {
		if _, err := p.waitForSequence(ctx, a.waitArgs, reply.Sequence); err != nil {
			return err
		}
	}
	return p.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "data centre %s is in service as %d by %s; it is filled gradually\n", a.DataCentre, reply.Sequence, reply.Actor)
	})
}

// setDataCentreState sends the command that takes a data centre out of service
// (direction "out") or returns it (direction "in").
func (p *Program) setDataCentreState(ctx context.Context, name, direction, reason string, a commandArgs) (adminapi.CommandReply, error) {
	view, err := p.view(ctx)
	if err != nil {
		return adminapi.CommandReply{}, err
	}
	cmd := p.command(a, view)
	path := "data-centres/" + url.PathEscape(name) + "/" + direction
	return p.run(ctx, path, cmd, adminapi.DataCentreRequest{Command: cmd, Reason: reason})
}
