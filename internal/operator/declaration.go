package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// acceptedKeyword selects the accepted declaration in place of a file name.
const acceptedKeyword = "accepted"

// checkResult is the JSON output of a successful check.
type checkResult struct {
	File        string `json:"file"`
	Digest      string `json:"digest"`
	DataCentres int    `json:"data_centres"`
	Workers     int    `json:"workers"`
	Services    int    `json:"services"`
	Slots       int    `json:"slots"`
	Capacity    string `json:"capacity"`
}

// check runs vpier check. Validation errors give exit code 1.
func (p *Program) check(a *checkArgs) error {
	doc, err := p.readDeclaration(a.File)
	var faults declaration.ValidationErrors
	if errors.As(err, &faults) {
		return failedError{faults}
	}
	if err != nil {
		return err
	}
	d := doc.Declaration
	result := checkResult{
		File: a.File, Digest: doc.Digest, DataCentres: len(d.DataCentres),
		Services: len(d.Services), Capacity: d.TotalCapacity().String(),
	}
	for _, dc := range d.DataCentres {
		result.Workers += dc.Workers()
	}
	for _, s := range d.Services {
		result.Slots += s.Slots()
	}
	return p.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid, digest %s\n", a.File, doc.Digest)
		fmt.Fprintf(w, "%s, %s with %s; %s with %s\n", plural(result.DataCentres, "data centre"), plural(result.Workers, "worker"),
			result.Capacity, plural(result.Services, "service"), plural(result.Slots, "slot"))
	})
}

// readDeclaration reads and validates a declaration.
func (p *Program) readDeclaration(path string) (*declaration.Document, error) {
	text, err := p.readInput(path)
	if err != nil {
		return nil, err
	}
	return declaration.Check(path, text)
}

// diffResult is the JSON output of a diff.
type diffResult struct {
	Old     string               `json:"old"`
	New     string               `json:"new"`
	Changes []declaration.Change `json:"changes"`
}

// diff runs vpier diff.
func (p *Program) diff(ctx context.Context, a *diffArgs) error {
	old, err := p.loadDiffOperand(ctx, a.Old)
	if err != nil {
		return err
	}
	changed, err := p.loadDiffOperand(ctx, a.New)
	if err != nil {
		return err
	}
	result := diffResult{Old: a.Old, New: a.New, Changes: declaration.Diff(old, changed)}
	return p.print(result, func(w io.Writer) { writeChanges(w, result.Changes) })
}

// loadDiffOperand returns a declaration to compare, from a file or the accepted one.
func (p *Program) loadDiffOperand(ctx context.Context, name string) (*declaration.Declaration, error) {
	if name != acceptedKeyword {
		doc, err := p.readDeclaration(name)
		if err != nil {
			return nil, err
		}
		return doc.Declaration, nil
	}
	if err := p.connect(); err != nil {
		return nil, err
	}
	view, err := p.view(ctx)
	return view.Declaration, err
}

// writeChanges writes changes as text.
func writeChanges(w io.Writer, changes []declaration.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no change in content")
		return
	}
	for _, c := range changes {
		fmt.Fprintf(w, "%s\n    %s\n", c, c.Consequence)
		if c.CapacityBefore != c.CapacityAfter {
			fmt.Fprintf(w, "    capacity: %s -> %s\n", c.CapacityBefore, c.CapacityAfter)
		}
	}
}

// propose runs vpier propose.
func (p *Program) propose(ctx context.Context, a *proposeArgs) error {
	text, err := p.readInput(a.File)
	if err != nil {
		return err
	}
	doc, err := declaration.Check(a.File, text)
	if err != nil {
		return err
	}
	view, err := p.view(ctx)
	if err != nil {
		return err
	}
	cmd := p.command(a.commandArgs, view)
	reply, err := p.run(ctx, "propose", cmd, adminapi.ProposeRequest{Command: cmd, Text: string(text), Note: a.Note})
	if err != nil {
		return err
	}
	if len(reply.Changes) == 0 { // a reply reconstructed from the history has none
		reply.Changes = declaration.Diff(view.Declaration, doc.Declaration)
	}
	return p.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "proposed as %d by %s, digest %s\n", reply.Sequence, reply.Actor, reply.Digest)
		writeChanges(w, reply.Changes)
		fmt.Fprintf(w, "next: vpier accept %d, or vpier reject %d --reason TEXT\n", reply.Sequence, reply.Sequence)
	})
}

// accept runs vpier accept.
func (p *Program) accept(ctx context.Context, a *acceptArgs) error {
	view, err := p.view(ctx)
	if err != nil {
		return err
	}
	proposal, err := p.chooseProposal(ctx, a.Proposal, view)
	if err != nil {
		return err
	}
	cmd := p.command(a.commandArgs, view)
	reply, err := p.run(ctx, "accept", cmd, adminapi.AcceptRequest{Command: cmd, Proposal: proposal, Digest: a.Digest})
	if err != nil {
		return err
	}
	if a.Wait {
		if _, err := p.waitForSequence(ctx, a.waitArgs, reply.Sequence); err != nil {
			return err
		}
	}
	return p.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "declaration %s is accepted as %d by %s\n", adminapi.ShortDigest(reply.Digest), reply.Sequence, reply.Actor)
		if !a.Wait {
			fmt.Fprintf(w, "next: vpier status --wait --sequence %d\n", reply.Sequence)
		}
	})
}

// reject runs vpier reject.
func (p *Program) reject(ctx context.Context, a *rejectArgs) error {
	if strings.TrimSpace(a.Reason) == "" {
		return model.Errorf(model.KindInvalid, "add --reason TEXT", "a rejection needs a reason")
	}
	view, err := p.view(ctx)
	if err != nil {
		return err
	}
	proposal, err := p.chooseProposal(ctx, a.Proposal, view)
	if err != nil {
		return err
	}
	cmd := p.command(a.commandArgs, view)
	reply, err := p.run(ctx, "reject", cmd, adminapi.RejectRequest{Command: cmd, Proposal: proposal, Reason: a.Reason})
	if err != nil {
		return err
	}
	return p.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "proposal %d is rejected as %d by %s\n", proposal, reply.Sequence, reply.Actor)
	})
}
