package main

// The names of header fields, as the pages of the platform spell them.
const (
	fieldAttempt     = `Attempt-Id`
	fieldDeadline    = `Deadline-Ms`
	fieldSeal        = `Response-Seal`
	fieldInstance    = `Expect-Instance`
	fieldNotExecuted = `Not-Executed`
	fieldTenant      = `Tenant`
	fieldLoad        = `Server-Load`
)
