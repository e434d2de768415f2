package main

import (
	"context"
	"testing"
)

// TestArguments guards against a stand-in that listens on other addresses than
// loopback or accepts unknown arguments.
func TestArguments(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, arguments := range [][]string{
		{"kv", "--listen", "0.0.0.0:0"},
		{"kv", "--listen", "localhost:0"},
		{"kv", "--unknown"},
		{"site", "--site", "unknown"},
		{"site", "--scale-down", "5", "--switches", "0.0.0.0:0"},
	} {
		if run(ctx, arguments) == nil {
			t.Errorf("%v was accepted", arguments)
		}
	}
	for _, arguments := range [][]string{{"kv"}, {"engine"}, {"store"}, {"service"}, {"weights"}, {"site", "--site", "ulan", "--scale-down", "5"}} {
		if err := run(ctx, arguments); err != nil {
			t.Errorf("%v: %v", arguments, err)
		}
	}
}
