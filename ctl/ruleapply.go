package ctl

import (
	"context"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/node/agent"
	"tanagerspread/node/confkv"
)

// DefaultApplyWait is the default limit on the wait for acceptance.
const DefaultApplyWait = 17 * time.Second

// ApplyOptions configures one apply of a rules file.
type ApplyOptions struct {
	KeyValue kv.Service
	VMList   vmlist.Lister
	Parse    agent.ParseFunc
	// Base is the version that the rules file is based on; 0 means that no
	// configuration exists yet.
	Base config.Version
	// ApplyID makes the apply idempotent: several applies with the same
	// identifier take effect once.
	ApplyID string
	Author  string
	Text    []byte
	// Wait is the longest wait for acceptance.
	Wait time.Duration
}

// ApplyResult is the result of an apply.
type ApplyResult struct {
	Version  config.Version `json:"version"`
	ApplyID  string         `json:"apply_id"`
	Accepted bool           `json:"accepted"`
	// Missing lists the nodes that have not acknowledged the version. When the
	// version is accepted, these nodes are fenced or no longer exist.
	Missing []string `json:"missing,omitempty"`
	// Conflict describes the configuration that was applied first, with its
	// version, author and apply id. It is set only when nothing was written;
	// Version is then 0.
	Conflict string `json:"conflict,omitempty"`
}

// ApplyRules parses a rules file, commits it as a new version and waits until
// the version is accepted. It returns code.NotAccepted and the result when the
// version is committed but was not confirmed as accepted within options.Wait,
// and another error when the commit is not confirmed.
func ApplyRules(ctx context.Context, options ApplyOptions) (ApplyResult, *code.Error) {
	result := ApplyResult{ApplyID: options.ApplyID}
	if options.ApplyID == "" || options.Author == "" {
		return result, code.New(code.RuleUnattributed, "an apply needs an author and an apply id")
	}
	if _, err := options.Parse(options.Text); err != nil {
		return result, err
	}
	configuration := config.Configuration{ApplyID: options.ApplyID, Author: options.Author, AppliedAt: time.Now().UTC(), Text: options.Text}
	committed, err := confkv.Apply(ctx, options.KeyValue, options.Base, configuration)
	if err != nil {
		return result, err
	}
	result.Version = committed.Version
	acceptance, err := confkv.AwaitAcceptance(ctx, options.KeyValue, options.VMList, committed.Version, options.Wait)
	result.Accepted = acceptance.Accepted
	result.Missing = acceptance.Missing
	return result, err
}
