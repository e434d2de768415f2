// Package core and the packages below it make the decisions of the system. They
// do no input or output, encode no messages and never read the clock: the
// current time is an argument. All of their state belongs to the control thread.
package core
