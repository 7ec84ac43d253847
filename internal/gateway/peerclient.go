package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answerhead"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/gossipcodec"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/tcpconn"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// peerDialTimeout bounds connecting to a member, which takes milliseconds. A member
	// without power does not answer at all.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to a member stays open: half as long as
	// the member keeps it.
	peerIdleTimeout = 30 * time.Second
	// peerIdleConns is how many idle connections to one member stay open. A group holds one
	// for as long as its batch takes.
	peerIdleConns = 32
)

// peerClient calls other members. It has one method per message, which encodes the message
// and decodes the answer. Callers bound the calls by their contexts; failed calls are not
// retried here.
type peerClient struct {
	now    func() time.Time
	client *http.Client
	// onSilence is called when an open connection to a member seems to be silent.
	onSilence func(member string)
}

func newPeerClient(now func() time.Time, opts ...tcpconn.Option) *peerClient {
	c := &peerClient{now: now, onSilence: func(string) {}}
	dialer := tcpconn.NewDialer(peerDialTimeout, append(opts, tcpconn.OnSilence(func(member string) { c.onSilence(member) }))...)
	c.client = &http.Client{Transport: answerhead.Transport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerIdleConns,
		IdleConnTimeout: peerIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: wire.MaxHeaderBytes,
	})}
	return c
}

// closeIdle closes the connections that no call uses.
func (c *peerClient) closeIdle() { c.client.CloseIdleConnections() }

// exchangeGossip sends gossip to a member and returns its answer. compact tells whether the
// member decodes the compact form.
func (c *peerClient) exchangeGossip(ctx context.Context, member string, in message.Gossip, compact bool) (message.Gossip, error) {
	body, contentType, err := gossipcodec.Encode(in, compact)
	if err != nil {
		return message.Gossip{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+member+wire.PathGossip, bytes.NewReader(body))
	if err != nil {
		return message.Gossip{}, err
	}
	req.Header.Set("Content-Type", contentType)
	req.Header.Set("Accept", gossipcodec.CompactMediaType)
	resp, err := c.client.Do(req)
	if err != nil {
		return message.Gossip{}, err
	}
	// The error does not matter: everything needed has been read.
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return message.Gossip{}, errors.Errorf("member %s answered with status %d", member, resp.StatusCode)
	}
	return gossipcodec.Decode(io.LimitReader(resp.Body, wire.MaxAnswerBytes), resp.Header.Get("Content-Type"))
}

// runItems runs the items of a group at a member. It calls inputsRead when the member reports
// that the items have read their inputs.
func (c *peerClient) runItems(ctx context.Context, member, service string, group relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
	now := c.now()
	ctx, cancel := context.WithTimeout(ctx, group.Deadline.Sub(now))
	defer cancel()
	out := itemsReply{onInputsRead: inputsRead}
	err := c.call(ctx, http.MethodPost, member, wire.PathItems, encodeGroup(now, service, group), &out)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, contextReason(ctx), "member %s gave no results", member).WithCause(err)
	}
	if out.Reason != "" {
		return nil, decodeWithdrawn(c.now(), decodeRefusal(out.ItemResults), out.Withdrawn)
	}
	if len(out.Results) != group.Count {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal,
			"member %s gave %d results for %d items", member, len(out.Results), group.Count)
	}
	return decodeResults(out.Results), nil
}

// contextReason returns the reason of the failure of a call or group that got no answer,
// according to its context. If its deadline has passed or it was cancelled, that does not
// mean that the member is lost.
func contextReason(ctx context.Context) verdict.Reason {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return verdict.ReasonDeadline
	case context.Canceled:
		return verdict.ReasonCancelled
	}
	return verdict.ReasonConnection
}

// releaseResults releases results at the coordinator of a service.
func (c *peerClient) releaseResults(ctx context.Context, member, service string, results []batching.Result) error {
	in := message.ItemRelease{Service: service, Results: encodeResults(results)}
	return c.call(ctx, http.MethodPost, member, wire.PathRelease, in, nil)
}

// sendPlans sends plans to the member that coordinates their services, and returns the
// quotes for the stages of each. A member of an earlier version answers only the first plan.
func (c *peerClient) sendPlans(ctx context.Context, member string, plans []requestPlan) ([][]relay.Quote, error) {
	var out message.ItemBacklogs
	if err := c.call(ctx, http.MethodPost, member, wire.PathPlan, encodePlans(c.now(), plans), &out); err != nil {
		return nil, err
	}
	answers := decodeQuotes(out)
	if len(answers) > 1 && len(answers) != len(plans) {
		return nil, errors.Errorf("member %s answered %d of %d plans", member, len(answers), len(plans))
	}
	for i, quotes := range answers {
		if len(quotes) != len(plans[i].Stages) {
			return nil, errors.Errorf("member %s returned %d backlogs for %d stages", member, len(quotes), len(plans[i].Stages))
		}
	}
	return answers, nil
}

// placePrompt has a member choose the engine for a prompt. The engine is empty if there is
// none.
func (c *peerClient) placePrompt(ctx context.Context, member, service string, q placement.Prompt) (relay.Placed, error) {
	var out message.PromptPlaced
	err := c.call(ctx, http.MethodPost, member, wire.PathPlace, encodePrompt(service, q), &out)
	return relay.Placed{Engine: out.Target, CopyFrom: out.CopyFrom}, err
}

// reportPrefill tells the member that placed a prompt that its prefill has ended. prefilled
// is whether the first event arrived, and slowdown what the engine reported; 0 for nothing.
func (c *peerClient) reportPrefill(ctx context.Context, member, service, request string, prefilled bool, slowdown float64) error {
	in := message.PromptRead{Service: service, Request: request, Whole: prefilled, SlowdownPercent: targetspeed.Percent(slowdown)}
	return c.call(ctx, http.MethodPost, member, wire.PathRead, in, nil)
}

// fetchView returns what a member knows beyond a revision and a version of the catalog.
func (c *peerClient) fetchView(ctx context.Context, member string, since view.Revision, version int64) (message.ViewSnapshot, error) {
	query := url.Values{
		paramSince: {strconv.FormatInt(int64(since), 10)}, paramVersion: {strconv.FormatInt(version, 10)},
		paramCatalog: {"true"},
	}
	var out message.ViewSnapshot
	err := c.call(ctx, http.MethodGet, member, wire.PathView+"?"+query.Encode(), nil, &out)
	return out, err
}

// tellOrigin tells a member where a stream began. The error of a member of an earlier version is
// errUnsupported.
func (c *peerClient) tellOrigin(ctx context.Context, member string, o message.StreamOrigin) error {
	return c.call(ctx, http.MethodPost, member, wire.PathStream, o, nil)
}

// findOrigin asks a member where a stream began; the service is empty if it does not know. The
// error of a member of an earlier version is errUnsupported.
func (c *peerClient) findOrigin(ctx context.Context, member string, k streamorigin.Key) (message.StreamOrigin, error) {
	var out message.StreamOrigin
	err := c.call(ctx, http.MethodGet, member, wire.PathStream+"?"+url.Values{paramKey: {k.String()}}.Encode(), nil, &out)
	return out, err
}

// borrowSend asks a member for one of the requests that it may send to some targets; the answer
// names none if it lends none. The error of a member of an earlier version is errUnsupported.
func (c *peerClient) borrowSend(ctx context.Context, member string, in message.SendLoan) (message.SendLoan, error) {
	var out message.SendLoan
	err := c.call(ctx, http.MethodPost, member, wire.PathLend, in, &out)
	return out, err
}

// fetchHeldRequests returns the requests and the parts of prompts that a member holds back.
func (c *peerClient) fetchHeldRequests(ctx context.Context, member string) (message.SuspectList, error) {
	var out message.SuspectList
	err := c.call(ctx, http.MethodGet, member, wire.PathSuspects, nil, &out)
	return out, err
}

// call sends JSON to a member and decodes its JSON answer into out, unless that is nil.
func (c *peerClient) call(ctx context.Context, method, member, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+member+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	// The error does not matter: everything needed has been read.
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return errors.Wrap(errUnsupported, member)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("member %s answered with status %d", member, resp.StatusCode)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, wire.MaxAnswerBytes))
		return err
	}
	decoder := json.NewDecoder(io.LimitReader(resp.Body, wire.MaxAnswerBytes))
	if answer, ok := out.(*itemsReply); ok {
		return answer.read(decoder)
	}
	return decoder.Decode(out)
}

// itemsReply is a member's answer to a group: optionally a report that the inputs have been
// read, followed by the results.
type itemsReply struct {
	message.ItemResults
	onInputsRead func()
}

func (a *itemsReply) read(decoder *json.Decoder) error {
	for {
		a.ItemResults = message.ItemResults{}
		if err := decoder.Decode(&a.ItemResults); err != nil {
			return err
		}
		if !a.Started {
			return nil
		}
		a.onInputsRead()
	}
}
