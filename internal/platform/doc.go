// Package platform defines the interfaces of the platform's systems (configuration service,
// VM list, model engines, weight store, plain services) and implements HTTP clients for them.
// A plain service is an HTTP backend server that is not a model engine.
//
// Every client method takes a context, applies its own timeout, limits the size of responses
// and does not follow redirects. It sends a request that may have side effects at most once.
// Every error is an *Error, whose Kind tells whether the request may have run; the exceptions
// are ErrUnchanged and the io.EOF of Stream.Next.
package platform
