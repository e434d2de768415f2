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
	Service kv.Service
	List    vmlist.Lister
	Parse   agent.ParseFunc
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

// ApplyReport is the result of an apply.
type ApplyReport struct {
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
func ApplyRules(ctx context.Context, o ApplyOptions) (ApplyReport, *code.Error) {
	report := ApplyReport{ApplyID: o.ApplyID}
	if o.ApplyID == "" || o.Author == "" {
		return report, code.New(code.RuleUnattributed, "an apply needs an author and an apply id")
	}
	if _, err := o.Parse(o.Text); err != nil {
		return report, err
	}
	wanted := config.Configuration{ApplyID: o.ApplyID, Author: o.Author, AppliedAt: time.Now().UTC(), Text: o.Text}
	done, err := confkv.Apply(ctx, o.Service, o.Base, wanted)
	if err != nil {
		return report, err
	}
	report.Version = done.Version
	verdict, err := confkv.AwaitAcceptance(ctx, o.Service, o.List, done.Version, o.Wait)
	report.Accepted = verdict.Accepted
	report.Missing = verdict.Missing
	return report, err
}
