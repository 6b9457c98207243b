// Package charts holds the state charts that the code interprets.
package charts

import "embed"

// Files holds every state chart as NAME.json.
//
//go:embed *.json
var Files embed.FS
