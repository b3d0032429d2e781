package dragonflypass

import "time"

// The counters.
const (
	CountAdmitted          Counter = "requests_admitted"
	CountRefused           Counter = "requests_refused"
	CountFinished          Counter = "requests_finished"
	CountFailed            Counter = "requests_failed"
	CountTimeout           Counter = "requests_timeout"
	CountCancelled         Counter = "requests_cancelled"
	CountRetried           Counter = "requests_retried"
	CountHedged            Counter = "requests_hedged"
	CountResumed           Counter = "requests_resumed"
	CountMigrated          Counter = "requests_moved"
	CountKVCopyFailed      Counter = "kv_copies_failed"
	CountTokens            Counter = "tokens_relayed"
	CountFrameDropped      Counter = "frames_dropped"
	CountPermitGranted     Counter = "permits_granted"
	CountPermitReleased    Counter = "permits_released"
	CountPermitExpired     Counter = "permits_expired"
	CountPermitRefused     Counter = "permits_refused"
	CountPermitMoved       Counter = "permits_moved"
	CountPermitShed        Counter = "permits_shed"
	CountOrphanCancelled   Counter = "orphans_cancelled"
	CountReportFailed      Counter = "reports_failed"
	CountHeartbeatSent     Counter = "heartbeats_sent"
	CountHeartbeatFailed   Counter = "heartbeats_failed"
	CountPeerBytes         Counter = "peer_bytes"
	CountPeerSilent        Counter = "peer_connections_silent"
	CountConfigApplied     Counter = "config_changes_applied"
	CountConfigRejected    Counter = "config_changes_rejected"
	CountConfigFromPeer    Counter = "config_pages_from_peer"
	CountSnapshotWritten   Counter = "snapshots_written"
	CountLogFailed         Counter = "log_calls_failed"
	CountClaimMade         Counter = "claims_made"
	CountClaimLost         Counter = "claims_lost"
	CountClaimAbandoned    Counter = "claims_voided"
	CountClaimReplayed     Counter = "claims_replayed"
	CountClaimCheckpointed Counter = "claims_copied"
	CountAtMostOnceSent    Counter = "once_calls_sent"
	CountQuarantined       Counter = "fingerprints_quarantined"
	CountPartQuarantined   Counter = "shared_parts_quarantined"
	CountPartCleared       Counter = "shared_parts_cleared"
	CountServerCrashed     Counter = "servers_crashed"
	CountOrderSent         Counter = "orders_sent"
	CountOrderFailed       Counter = "orders_failed"
	CountOrderFenced       Counter = "orders_fenced"
	CountJobShed           Counter = "jobs_shed"
	CountJobRun            Counter = "jobs_run"
	CountRetryBudgetSpent  Counter = "retry_budget_spent"
	CountReservationOrders Counter = "reservation_orders"
	CountReservationFailed Counter = "reservations_failed"
	CountServerProbes      Counter = "server_probes"
	CountOwnerUnresponsive Counter = "owners_silent"
	CountServerEjected     Counter = "servers_left_out"
	CountServerLeaving     Counter = "servers_leaving"
	CountServerDeferred    Counter = "servers_deferred"
	CountPermitReturned    Counter = "permits_returned"
	// CountPermitEvacuated counts the permits returned because a zone is evacuated, and CountRequestEvacuated the queued
	// requests that were moved to another shard for that reason.
	CountPermitEvacuated  Counter = "permits_evacuated"
	CountRequestEvacuated Counter = "requests_evacuated"
	// CountColdRequest counts the requests sent to servers that were warming up, and CountRequestThrottled those for which there
	// was only such a server, which could not receive one yet.
	CountColdRequest      Counter = "cold_requests"
	CountRequestThrottled Counter = "requests_throttled"
	CountStoreCalls       Counter = "store_calls"
	CountStoreFailed      Counter = "store_calls_failed"
	CountRecordUnreadable Counter = "records_unreadable"
	CountServerDials      Counter = "server_connections_made"
	CountForeignResponses Counter = "foreign_answers_dropped"
	// CountMalformedResponses counts the responses of servers that are not valid, and CountUncleanEnds those that ended with a
	// connection that was reset, or ended before the server had received the request.
	CountMalformedResponses Counter = "answers_malformed"
	CountUncleanEnds        Counter = "answers_cut_by_reset"
	// CountStoreRestored counts the restores of the store that this VM has learnt of, by topic, and CountOldEraIgnored the
	// responses of the store and updates of other VMs that were ignored because they were of an older era.
	CountStoreRestored Counter = "store_restores"
	CountOldEraIgnored Counter = "store_old_era_ignored"
	// CountInvalid counts the requests that were refused while they were read, and CountRefusalUnwritten the refusals that
	// could not be written to their callers.
	CountInvalid          Counter = "requests_invalid"
	CountRefusalUnwritten Counter = "refusals_unwritten"
	// CountResponseCut counts the responses that this VM ended in the middle although their servers had not failed.
	CountResponseCut Counter = "responses_cut"
	// CountHandlerPanics counts the panics of request handlers; their callers receive no response.
	CountHandlerPanics Counter = "handler_panics"
	// CountBodyRefused counts the request bodies and responses for which there was no place or memory, CountBodyEvicted the
	// bodies without progress that gave way to others, and CountBodyStalled those that made no progress for the longest time
	// allowed.
	CountBodyRefused Counter = "bodies_refused"
	CountBodyEvicted Counter = "bodies_evicted"
	CountBodyStalled Counter = "bodies_stalled"
	// CountConnectionRefused counts the connections that were closed at once, and CountConnectionEvicted those without a
	// request that gave way to others.
	CountConnectionRefused Counter = "connections_refused"
	CountConnectionEvicted Counter = "connections_evicted"
	CountLinesDropped      Counter = "log_lines_dropped"
	CountLinesAggregated   Counter = "log_lines_gathered"
)

// The measured durations.
const (
	MeasureFirstToken   Measure = "first_token"
	MeasureTotalTime    Measure = "whole"
	MeasureQueue        Measure = "queue"
	MeasureTimePerToken Measure = "between_tokens"
)

// ExchangeResult is the result of an exchange, as recorded in the metrics.
type ExchangeResult struct {
	Service ServiceID
	// Outcome is empty if the response was forwarded completely.
	Outcome Reason
	Rank    Rank
	Class   LengthClass
	// TimeToFirstChunk is the time to the first chunk of the response, negative if there was none; TotalTime is the time to its end.
	TimeToFirstChunk time.Duration
	TotalTime        time.Duration
}
