// Package responder is the HTTP front end for callers: completions in the OpenAI format and calls of plain services.
package responder
