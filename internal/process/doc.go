// Package process receives the signals that stop a program or tell it to read its
// settings again.
//
// A signal that is not caught ends a Go process at once, and with it all requests in
// flight. A process that serves requests therefore catches its signals from its first
// step until it exits: Listen has no counterpart that gives a signal its default
// action back. Commands that only watch or measure use UntilInterrupted.
//
// # Usage
//
//	stop, reloads := process.Listen() // before anything else
//	go reload(reloads)
//	err := server.Run(stop) // runs until SIGTERM or SIGINT
package process
