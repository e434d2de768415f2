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

// DefaultApplyWait is how long an apply waits for acceptance.
const DefaultApplyWait = 17 * time.Second

// ApplyOptions configures one apply of a rules file.
type ApplyOptions struct {
	KeyValue kv.Service
	VMList   vmlist.Lister
	Parse    agent.Parse
	// Base is the version that the file was written against; 0 means that no
	// configuration exists yet.
	Base config.Version
	// ApplyID identifies the apply. An apply that is repeated with the same
	// identifier takes effect once.
	ApplyID string
	Author  string
	Text    []byte
	// Wait bounds the wait for acceptance.
	Wait time.Duration
}

// ApplyResult is the result of an apply.
type ApplyResult struct {
	Version  config.Version `json:"version"`
	ApplyID  string         `json:"apply_id"`
	Accepted bool           `json:"accepted"`
	// Missing lists the nodes that have not acknowledged the version. With an
	// accepted version they are fenced or gone.
	Missing []string `json:"missing,omitempty"`
	// Conflict names version, author and apply id of the configuration that
	// was applied first. Nothing was written then, and Version is 0.
	Conflict string `json:"conflict,omitempty"`
}

// ApplyRules checks and writes a rules file and waits until it is accepted.
// It returns code.NotAccepted with the report of a version that is committed
// but not known to be accepted, and any other error when it is not known to
// be committed.
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
