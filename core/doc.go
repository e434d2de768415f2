// Package core and the packages below it hold the decisions of the system.
// They do no input or output, encode nothing and never read the clock: time
// enters as an argument. All of their state belongs to the control thread.
package core
