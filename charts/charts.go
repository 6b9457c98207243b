// Package charts embeds the state charts, which package chart interprets.
package charts

import "embed"

// Files holds each state chart as NAME.json.
//
//go:embed *.json
var Files embed.FS
