// Package chart loads state charts from TOML files, checks them, and
// interprets them on looplab/fsm.
//
// One machine is built per chart and shared by all of its instances. The
// caller must use a machine from a single goroutine, because the machine is
// moved to the state of the instance before each event.
package chart
