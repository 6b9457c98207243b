// Package standin holds small stand-ins for the outside systems: model engine, plain
// service, configuration service, VM list and weight store. Each is an http.Handler for
// tests and demonstrations in one process, and keeps a record of what it truly ran.
package standin
