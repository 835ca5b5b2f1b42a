// Package sighup receives SIGHUP from the initialization of the process on. The default action
// of the signal ends the process, so one that comes before the process has read its settings
// must not find that action in force. The package imports little, so that it is initialized
// before most others.
package sighup

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds at most one signal, since one reload covers all signals before it.
var received = make(chan os.Signal, 1)

func init() { signal.Notify(received, syscall.SIGHUP) }

// Received returns the channel on which the signals arrive.
func Received() <-chan os.Signal { return received }

// Reset restores the default action, for a process without settings to reload.
func Reset() { signal.Reset(syscall.SIGHUP) }
