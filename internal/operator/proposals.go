package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Page sizes for reading the history. Texts have up to 64 KiB and may be longer, so the
// smaller page keeps a response with texts below maxReplyBytes.
const (
	historyPageSize          = 500
	historyPageSizeWithTexts = 50
)

// chooseProposal returns the given proposal, or the only open one. Proposals before the
// last acceptance are superseded, so the search starts after it.
func (p *Program) chooseProposal(ctx context.Context, given uint64, view adminapi.ViewReply) (uint64, error) {
	if given != 0 {
		return given, nil
	}
	open := map[uint64]string{}
	err := p.forEachEntry(ctx, view.AcceptedSequence+1, false, func(entry control.Entry) { updateOpenProposals(open, entry) })
	if err != nil {
		return 0, err
	}
	numbers := slices.Sorted(maps.Keys(open))
	switch len(numbers) {
	case 0:
		return 0, model.Errorf(model.KindNotFound, "propose one with vpier propose FILE; vpier history shows decided ones", "no proposal is open")
	case 1:
		return numbers[0], nil
	}
	var list []string
	for _, n := range numbers {
		list = append(list, fmt.Sprintf("%d by %s", n, open[n]))
	}
	return 0, model.Errorf(model.KindInvalid, "give the sequence of one", "several proposals are open: %s", strings.Join(list, ", "))
}

// updateOpenProposals applies an entry to the map of open proposals and their authors.
func updateOpenProposals(open map[uint64]string, entry control.Entry) {
	switch rec := entry.Record; {
	case rec.Proposed != nil:
		open[entry.Sequence] = rec.Actor
	case rec.Rejected != nil:
		delete(open, rec.Rejected.Proposal)
	case rec.Accepted != nil:
		clear(open)
	}
}

// forEachEntry calls fn for the entries of the journal from a sequence to its end, with
// or without declaration texts.
func (p *Program) forEachEntry(ctx context.Context, from uint64, texts bool, fn func(control.Entry)) error {
	limit := historyPageSize
	if texts {
		limit = historyPageSizeWithTexts
	}
	for from != 0 {
		var page adminapi.HistoryReply
		if err := p.client.getAny(ctx, fmt.Sprintf("history?from=%d&limit=%d&texts=%t", from, limit, texts), &page); err != nil {
			return err
		}
		for _, entry := range page.Entries {
			fn(entry)
		}
		from = page.Next
	}
	return nil
}
