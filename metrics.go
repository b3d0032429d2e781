package dragonflypass

// The counters of the system.
const (
	CountAdmitted         Counter = "requests_admitted"
	CountRefused          Counter = "requests_refused"
	CountFinished         Counter = "requests_finished"
	CountFailed           Counter = "requests_failed"
	CountTimeout          Counter = "requests_timeout"
	CountCancelled        Counter = "requests_cancelled"
	CountRetried          Counter = "requests_retried"
	CountResumed          Counter = "requests_resumed"
	CountTokens           Counter = "tokens_relayed"
	CountFrameDropped     Counter = "frames_dropped"
	CountPermitGranted    Counter = "permits_granted"
	CountPermitReleased   Counter = "permits_released"
	CountPermitExpired    Counter = "permits_expired"
	CountPermitRefused    Counter = "permits_refused"
	CountOrphanCancelled  Counter = "orphans_cancelled"
	CountReportFailed     Counter = "reports_failed"
	CountHeartbeatSent    Counter = "heartbeats_sent"
	CountHeartbeatFailed  Counter = "heartbeats_failed"
	CountPeerBytes        Counter = "peer_bytes"
	CountConfigApplied    Counter = "config_changes_applied"
	CountConfigRejected   Counter = "config_changes_rejected"
	CountConfigFromPeer   Counter = "config_pages_from_peer"
	CountSnapshotWritten  Counter = "snapshots_written"
	CountLogFailed        Counter = "log_calls_failed"
	CountClaimMade        Counter = "claims_made"
	CountClaimLost        Counter = "claims_lost"
	CountClaimVoided      Counter = "claims_voided"
	CountClaimReplayed    Counter = "claims_replayed"
	CountClaimCopied      Counter = "claims_copied"
	CountOnceSent         Counter = "once_calls_sent"
	CountQuarantined      Counter = "fingerprints_quarantined"
	CountServerCrashed    Counter = "servers_crashed"
	CountJobShed          Counter = "jobs_shed"
	CountJobRun           Counter = "jobs_run"
	CountRetryBudgetSpent Counter = "retry_budget_spent"
)

// The measured durations of the system.
const (
	MeasureFirstToken Measure = "first_token"
	MeasureWhole      Measure = "whole"
	MeasureQueue      Measure = "queue"
	MeasureBetween    Measure = "between_tokens"
)
