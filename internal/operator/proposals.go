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

// Numbers of history entries read at once. With texts, which have up to 64 KiB
// and may be longer, a page stays within what is read of a response.
const (
	pageSize         = 500
	pageSizeWithText = 50
)

// chooseProposal returns the given proposal, or the only open one. Proposals
// from before the last acceptance are superseded, so the search starts there.
func (p *Program) chooseProposal(ctx context.Context, given uint64, view adminapi.ViewReply) (uint64, error) {
	if given != 0 {
		return given, nil
	}
	open := map[uint64]string{}
	err := p.eachEntry(ctx, view.AcceptedSequence+1, false, func(entry control.Entry) { trackOpen(open, entry) })
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

// trackOpen updates the open proposals and their authors.
func trackOpen(open map[uint64]string, entry control.Entry) {
	switch rec := entry.Record; {
	case rec.Proposed != nil:
		open[entry.Sequence] = rec.Actor
	case rec.Rejected != nil:
		delete(open, rec.Rejected.Proposal)
	case rec.Accepted != nil:
		clear(open)
	}
}

// eachEntry calls fn for the entries of the journal from a sequence to its
// end, with or without the texts of declarations.
func (p *Program) eachEntry(ctx context.Context, from uint64, texts bool, fn func(control.Entry)) error {
	limit := pageSize
	if texts {
		limit = pageSizeWithText
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
