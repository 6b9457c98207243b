// Package standin implements in-process stand-ins for the platform's systems: model engine,
// plain service, configuration service, VM list and weight store. Each is an http.Handler for
// tests and demonstrations. Engines and plain services record every run, so that tests can
// compare the results that clients received with what was run.
package standin
