// Package chart loads state charts from TOML files, checks them, and interprets
// them with looplab/fsm.
//
// One machine is built per chart and shared by all of its instances. A machine
// must be used by a single goroutine, because it is set to the state of the
// instance before each event.
package chart
