// Package platform defines the interfaces of the platform's systems (configuration service,
// VM list, model engines, weight store, plain services) and implements HTTP clients for them.
//
// Every client method takes a context, applies its own timeout, limits the size of responses
// and does not follow redirects. It sends a request that may have side effects at most once.
// Every error is an *Error, whose Kind tells whether the request may have run; the only
// exception is ErrUnchanged.
package platform
