package operator

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// history runs vpier history.
func (p *Program) history(ctx context.Context, a *historyArgs) error {
	if a.From == 0 || a.Limit < 1 || a.Limit > maxLimit {
		return model.Errorf(model.KindInvalid, fmt.Sprintf("give --from at least 1 and --limit from 1 to %d", maxLimit), "--from %d --limit %d", a.From, a.Limit)
	}
	if a.Export != "" {
		return p.export(ctx, a)
	}
	query := url.Values{"from": {strconv.FormatUint(a.From, 10)}, "limit": {strconv.Itoa(a.Limit)}}
	if a.Request != "" {
		query.Set("request_id", a.Request)
	}
	var reply adminapi.HistoryReply
	if err := p.client.getAny(ctx, "history?"+query.Encode(), &reply); err != nil {
		return err
	}
	if a.Request != "" && len(reply.Entries) == 0 {
		return model.Errorf(model.KindNotFound, "repeat the command with the same --request-id and --seen", "no command with request id %s is recorded", a.Request)
	}
	return p.print(reply, func(w io.Writer) { writeHistory(w, reply) })
}

// maxLimit is the largest number of entries in a node's response.
const maxLimit = 1000

// writeHistory writes entries as a table.
func writeHistory(w io.Writer, reply adminapi.HistoryReply) {
	rows := [][]string{{"SEQUENCE", "TIME", "ACTOR", "ACTION"}}
	for _, entry := range reply.Entries {
		rows = append(rows, []string{
			strconv.FormatUint(entry.Sequence, 10), timeOf(entry.Record), entry.Record.Actor, adminapi.DescribeAction(entry.Record) + noteSuffix(entry.Record),
		})
	}
	table(w, rows)
	if reply.Next != 0 {
		fmt.Fprintf(w, "more: vpier history --from %d\n", reply.Next)
	}
}

// timeOf formats the time of a record.
func timeOf(rec control.Record) string { return time.UnixMilli(rec.At).UTC().Format(time.RFC3339) }

// noteSuffix returns a record's note or reason that DescribeAction leaves out, as a
// suffix to its description.
func noteSuffix(rec control.Record) string {
	switch {
	case rec.Proposed != nil && rec.Proposed.Note != "":
		return ": " + rec.Proposed.Note
	case rec.DataCentreOut != nil && rec.DataCentreOut.Reason != "":
		return ": " + rec.DataCentreOut.Reason
	}
	return ""
}

// export writes the proposed texts from a sequence on to a new file. Comments before
// each text state who proposed it and who decided on it.
func (p *Program) export(ctx context.Context, a *historyArgs) error {
	file, err := os.OpenFile(a.Export, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "name a file that does not exist yet in a directory that you can write", "%s cannot be created", a.Export)
	}
	count, err := p.exportTo(ctx, a.From, file)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = model.Wrap(model.KindInvalid, closeErr, "check the space on the disk", "%s cannot be written", a.Export)
	}
	if err != nil {
		_ = os.Remove(a.Export) // a partial export could be mistaken for the full history
		return err
	}
	result := struct {
		File  string `json:"file"`
		Texts int    `json:"texts"`
	}{a.Export, count}
	return p.print(result, func(w io.Writer) { fmt.Fprintf(w, "%s written to %s\n", plural(count, "text"), a.Export) })
}

// exportTo writes the proposed texts and returns their number.
func (p *Program) exportTo(ctx context.Context, from uint64, out io.Writer) (int, error) {
	var proposals []control.Entry
	decisions := map[uint64]string{}
	err := p.forEachEntry(ctx, from, true, func(entry control.Entry) {
		switch rec := entry.Record; {
		case rec.Proposed != nil:
			proposals = append(proposals, entry)
		case rec.Accepted != nil:
			decisions[rec.Accepted.Proposal] = fmt.Sprintf("accepted by %s as %d, %s", rec.Actor, entry.Sequence, timeOf(rec))
		case rec.Rejected != nil:
			decisions[rec.Rejected.Proposal] = fmt.Sprintf("rejected by %s as %d, %s: %q", rec.Actor, entry.Sequence, timeOf(rec), rec.Rejected.Reason)
		}
	})
	for _, entry := range proposals {
		if err == nil {
			err = writeProposal(out, entry, decisions[entry.Sequence])
		}
	}
	return len(proposals), err
}

// writeProposal writes a proposal and its decision as a YAML document.
func writeProposal(out io.Writer, entry control.Entry, decision string) error {
	if decision == "" {
		decision = "not decided"
	}
	text := entry.Record.Proposed.Text
	if text == "" {
		text = "# the text is kept in the object store under declarations/" + entry.Record.Proposed.Digest + "\n"
	}
	_, err := fmt.Fprintf(out, "---\n# proposal %d by %s, %s, note %q\n# digest %s\n# %s\n%s\n", entry.Sequence, entry.Record.Actor,
		timeOf(entry.Record), entry.Record.Proposed.Note, entry.Record.Proposed.Digest, decision, text)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "check the space on the disk", "the export cannot be written")
	}
	return nil
}
