// Package platform defines the outside systems that the programs use (configuration
// service, VM list, model engines, weight store, plain services) and HTTP clients for them.
//
// Every client method takes a context, has a timeout of its own, limits the size of
// answers, never follows redirects and never sends twice what might run. Every error it
// returns is an *Error, whose Kind says whether the request may have run.
package platform
