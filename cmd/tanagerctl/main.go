// Command tanagerctl is the command-line tool for operators.
package main

import (
	"os"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/client/wire"
	"tanagerspread/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr, ctl.Clients{VMList: vmList, KeyValue: keyValue}))
}

func vmList(address string) vmlist.Lister {
	return vmlist.NewClient(wire.Options{Address: address})
}

func keyValue(address string) kv.Service {
	return kv.NewClient(wire.Options{Address: address})
}
