// Package responder is the HTTP front end for callers: completions in the OpenAI format and calls to plain services.
package responder
