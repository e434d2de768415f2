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
		add(parser, "status", "show all nodes with state and version in force", nil, a.status),
		add(parser, "dump", "show the control state of a node", []string{"NODE"}, a.dump),
		add(parser, "explain", "show the decisions about a request", []string{"REQUEST"}, a.explain),
		add(parser, "drain", "start the planned stop of a node", []string{"NODE"}, a.drain),
	)
}

// dump prints the same JSON in both forms of output, since a dump has no
// shorter form.
func (a *app) dump(args []string) error {
	ctx := context.Background()
	address, err := a.find(ctx, args[0])
	if err != nil {
		return err
	}
	var got control.Dump
	if err := a.call(ctx, http.MethodGet, address, admin.PathDump, &got); err != nil {
		return err
	}
	text, err := json.MarshalIndent(got, "", "  ")
	if err != nil {
		return err
	}
	return a.print(got, string(text)+"\n")
}

// explain asks every node, because the caller's request identifier does not
// name the node.
func (a *app) explain(args []string) error {
	ctx := context.Background()
	addresses, err := a.addresses(ctx)
	if err != nil {
		return err
	}
	path := admin.PathExplain + "?" + url.Values{admin.ParamRequest: {args[0]}}.Encode()
	var failed error
	for _, address := range addresses {
		var got control.Explanation
		err := a.call(ctx, http.MethodGet, address, path, &got)
		if err == nil && len(got.Decisions) > 0 {
			return a.print(got, explanationText(got))
		}
		failed = errors.Join(failed, err)
	}
	return errors.Join(fmt.Errorf("no node that answers remembers request %s", args[0]), failed)
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
	address, err := a.find(ctx, args[0])
	if err != nil {
		return err
	}
	var got admin.DrainResponse
	if err := a.call(ctx, http.MethodPost, address, admin.PathDrain, &got); err != nil {
		return err
	}
	return a.print(got, "planned stop started at "+address+"\n")
}
