package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"tanagerspread/core/control"
	"tanagerspread/node/admin"
)

func (a *app) registerNodes(parser *flags.Parser) error {
	return errors.Join(
		addCommand(parser, "status", "show all nodes with state and version in force", nil, a.status),
		addCommand(parser, "dump", "show the control state of a node", []string{"NODE"}, a.dump),
		addCommand(parser, "explain", "show the decisions about a request", []string{"REQUEST"}, a.explain),
		addCommand(parser, "drain", "start the planned stop of a node", []string{"NODE"}, a.drain),
	)
}

// dump prints the control state of a node. It prints the same JSON in both
// output formats, because a dump has no shorter text form.
func (a *app) dump(args []string) error {
	ctx := context.Background()
	address, err := a.resolveAddress(ctx, args[0])
	if err != nil {
		return err
	}
	var dump control.Dump
	if err := a.call(ctx, http.MethodGet, address, admin.PathDump, &dump); err != nil {
		return err
	}
	text, err := json.MarshalIndent(dump, "", "  ")
	if err != nil {
		return err
	}
	return a.print(dump, string(text)+"\n")
}

// explain prints the decisions about a request. It calls one node after the
// other until one has decisions, because the request identifier does not contain
// the node.
func (a *app) explain(args []string) error {
	ctx := context.Background()
	addresses, err := a.adminAddresses(ctx)
	if err != nil {
		return err
	}
	path := admin.PathExplain + "?" + url.Values{admin.ParamRequest: {args[0]}}.Encode()
	var errs error
	for _, address := range addresses {
		var explanation control.Explanation
		err := a.call(ctx, http.MethodGet, address, path, &explanation)
		if err == nil && len(explanation.Decisions) > 0 {
			return a.print(explanation, explanationText(explanation))
		}
		errs = errors.Join(errs, err)
	}
	return errors.Join(fmt.Errorf("no node that answers remembers request %s", args[0]), errs)
}

func explanationText(e control.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s on node %s\n", e.Request, e.Node)
	for _, r := range e.Decisions {
		fmt.Fprintf(&b, "%s %s %s\n", r.At.Format(time.RFC3339Nano), r.Action, r.Detail)
		fmt.Fprintf(&b, "  organisation %s, class %s, route %s, %d attempts, %d prompt tokens, version %d\n",
			r.Organisation, r.Class, r.Route, r.Attempts, r.PromptTokens, r.Version)
		if r.Code != 0 {
			fmt.Fprintf(&b, "  code %d\n", r.Code)
		}
		if r.Rule != "" {
			fmt.Fprintf(&b, "  rule %s, asked for by: %s\n", r.Rule, r.AskedBy)
		}
	}
	return b.String()
}

func (a *app) drain(args []string) error {
	ctx := context.Background()
	address, err := a.resolveAddress(ctx, args[0])
	if err != nil {
		return err
	}
	var drained admin.DrainResponse
	if err := a.call(ctx, http.MethodPost, address, admin.PathDrain, &drained); err != nil {
		return err
	}
	return a.print(drained, "planned stop started at "+address+"\n")
}
