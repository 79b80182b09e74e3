package dev

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/waiting"
)

// operator sends operator commands to the nodes.
type operator struct {
	cluster *cluster
	client  *http.Client
}

// commandTimeout bounds one attempt of a command, commandTries the number of attempts, and
// commandRetry is the delay between them.
const (
	commandTimeout = 3 * time.Second
	commandTries   = 30
	commandRetry   = 300 * time.Millisecond
)

// view reads the control view of one node.
func (o *operator) view(ctx context.Context, admin string) (adminapi.ViewReply, error) {
	var v adminapi.ViewReply
	err := o.call(ctx, http.MethodGet, admin, "view", nil, &v)
	return v, err
}

// command sends a command to a running node until it succeeds. Each attempt reads the
// current sequence first. All attempts have the same request id, so the command takes
// effect at most once.
func (o *operator) command(ctx context.Context, path string, build func(adminapi.Command) any) (adminapi.CommandReply, error) {
	var raw [12]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return adminapi.CommandReply{}, err
	}
	id := hex.EncodeToString(raw[:])
	var last error
	for range commandTries {
		reply, err := o.sendOnce(ctx, path, id, build)
		if err == nil {
			return reply, nil
		}
		last = err
		if !waiting.Sleep(ctx, commandRetry) {
			break
		}
	}
	return adminapi.CommandReply{}, last
}

func (o *operator) sendOnce(ctx context.Context, path, id string, build func(adminapi.Command) any) (adminapi.CommandReply, error) {
	var reply adminapi.CommandReply
	nodes := o.cluster.running()
	if len(nodes) == 0 {
		return reply, errNoNode
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, admin, _ := nodes[0].Addrs()
	view, err := o.view(ctx, admin)
	if err != nil {
		return reply, err
	}
	body := build(adminapi.Command{RequestID: id, SeenSequence: view.Sequence})
	err = o.call(ctx, http.MethodPost, admin, path, body, &reply)
	return reply, err
}

func (o *operator) call(ctx context.Context, method, admin, path string, body, into any) error {
	var payload io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+admin+adminapi.Prefix+path, payload)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+o.cluster.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // read errors are reported by ReadAll
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var failure adminapi.ErrorReply
		_ = json.Unmarshal(data, &failure) // a response of another format has no kind
		return model.Errorf(failure.Kind, failure.Remedy, "%s %s: %d %s", method, path, resp.StatusCode, failure.Message)
	}
	return json.Unmarshal(data, into)
}

// proposeAndAccept proposes a text and accepts it.
func (o *operator) proposeAndAccept(ctx context.Context, text, note string) (adminapi.CommandReply, error) {
	proposed, err := o.command(ctx, "propose", func(c adminapi.Command) any {
		return adminapi.ProposeRequest{Command: c, Text: text, Note: note}
	})
	if err != nil {
		return proposed, err
	}
	return o.command(ctx, "accept", func(c adminapi.Command) any {
		return adminapi.AcceptRequest{Command: c, Proposal: proposed.Sequence, Digest: proposed.Digest}
	})
}

// setDataCentre takes a data centre out of service or returns it.
func (o *operator) setDataCentre(ctx context.Context, dc model.DataCentre, out bool) (adminapi.CommandReply, error) {
	action := "in"
	if out {
		action = "out"
	}
	path := fmt.Sprintf("data-centres/%s/%s", dc, action)
	return o.command(ctx, path, func(c adminapi.Command) any {
		return adminapi.DataCentreRequest{Command: c, Reason: "recorded trace"}
	})
}

// evictionLimit matches the limit that raiseEvictionLimit changes.
var evictionLimit = regexp.MustCompile(`(?m)^(\s*evictions_per_minute:\s*)(\d+)`)

// raiseEvictionLimit returns the declaration's text with limits.evictions_per_minute
// raised by one.
func raiseEvictionLimit(text string) (string, error) {
	if !evictionLimit.MatchString(text) {
		return "", model.Errorf(model.KindInvalid, "state limits.evictions_per_minute", "the declaration has no limit that the run could change")
	}
	return evictionLimit.ReplaceAllStringFunc(text, func(match string) string {
		parts := evictionLimit.FindStringSubmatch(match)
		limit, _ := strconv.Atoi(parts[2]) // the pattern matches only digits
		return parts[1] + strconv.Itoa(limit+1)
	}), nil
}
