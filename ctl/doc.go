// Package ctl holds the operators' commands.
package ctl
