// Package ctl implements the commands of tanagerctl, the operators' tool.
package ctl
