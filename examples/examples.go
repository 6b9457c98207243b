// Package examples holds two deployments: settings, configuration, VM list and requests.
package examples

import "embed"

// Files holds one directory for each deployment.
//
//go:embed ndiaye andina
var Files embed.FS
