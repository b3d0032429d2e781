package dragonflypass

import "time"

// CrashID identifies a crash of a backend server.
type CrashID struct {
	Server ServerID
	// Epoch is the server's epoch before the crash.
	Epoch uint64
}

// ServerCrash reports the crash of a backend server and the requests that it was running.
type ServerCrash struct {
	Server ServerID
	// Epoch is the server's epoch before the crash.
	Epoch        uint64
	Fingerprints []Fingerprint
	// Suspects are the requests among them whose answers the server had not begun, as far as the parts of their prompts are
	// known.
	Suspects []CrashSuspect
	At       time.Time
}

// CrashSuspect is a request whose answer a backend server had not begun when it crashed.
type CrashSuspect struct {
	Fingerprint Fingerprint
	// Parts are the parts of its prompt that other prompts may share, sorted and without duplicates.
	Parts []SharedPart
	// SentAt is the time at which the request was sent to the server.
	SentAt time.Time
}

// RequestStatus is what an entry VM knows of a request that backend servers were running when they crashed.
type RequestStatus struct {
	Fingerprint Fingerprint
	// Crashes are the crashes that count against the request, and LastCrash is the time of the last one.
	Crashes   []CrashID
	LastCrash time.Time
	// CompletedAt is the time at which a server completed the request, although another VM has quarantined it. It is zero if
	// no server did since the last crash.
	CompletedAt time.Time
}

// PartStatus is what an entry VM knows of a shared part that has been suspected of crashing backend servers.
type PartStatus struct {
	Model ModelID
	Part  SharedPart
	// BegunAt is the time at which a server began to answer a prompt with the part, which shows that the part does not crash
	// servers. If it is zero, the part is quarantined and the fields below are set.
	BegunAt time.Time
	// Required are the parts that a prompt must have to be refused, sorted, including Part: those that the prompts which crashed
	// servers had in common, and which no server has begun to answer since.
	Required []SharedPart
	// Accounts are client accounts whose requests crashed servers; if there are several, some may be missing.
	Accounts []AccountID
	// Quarantines is the number of times that the part has been quarantined.
	Quarantines      int
	LastCrash        time.Time
	QuarantinedUntil time.Time
}
