package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"tanagerspread/core/code"
)

// base holds the fields that all subcommands for a single stand-in share.
type base struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"loopback IP number and port"`
	ctx    context.Context
}

// serve prints the address that it listens on and serves until the context ends.
func (b *base) serve(handler http.Handler) error {
	if err := checkLoopback(b.Listen); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", b.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(b.ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// checkLoopback returns code.SettingInvalid unless the address is a loopback IP
// number with a port.
func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return code.Newf(code.SettingInvalid, "%q is not a loopback IP number with a port", address)
	}
	return nil
}
