package quarantiner

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// partCrashLimit is the number of crashes, one after the other, at which a shared part is quarantined. partRequestLimit is
	// the number of different requests that must have caused them: a request that is sent again shows nothing about its parts.
	partCrashLimit   = 3
	partRequestLimit = 2
	// partAccountLimit is the number of client accounts whose requests must have crashed servers before a part is quarantined
	// for all accounts. Otherwise an account could have the requests of others refused.
	partAccountLimit = 2
	// firstPartQuarantine is the duration of the first quarantine of a part. It doubles with each further one, up to
	// quarantineDuration.
	firstPartQuarantine = 2 * time.Minute
	// orderTolerance is the error with which the order of events at different VMs is known.
	orderTolerance = 20 * time.Millisecond
	// maxPartCrashes is the largest number of crashes of a record that are kept.
	maxPartCrashes = 16
)

// partRecord holds the crashes of servers that had not begun to answer a prompt with the part, since the last time that a
// server began such an answer.
type partRecord struct {
	// common are the parts that the prompts of all counted crashes share, including this part. Any of them may be the cause but
	// for those that servers have begun since, so only prompts with all of the others, which are required, are refused.
	common   []dragonflypass.SharedPart
	required []dragonflypass.SharedPart
	// crashes are the latest crashes, and count is the number of those that were counted.
	crashes []dragonflypass.CrashID
	count   int
	// requests and accounts are those of the crashes, up to partRequestLimit and partAccountLimit.
	requests         []dragonflypass.Fingerprint
	accounts         []dragonflypass.AccountID
	lastCrash        time.Time
	quarantines      int
	quarantinedUntil time.Time
}

// add adds a crash, unless it is known. Servers that went down together, as when a zone fails, are counted as one: only a
// request that was sent after the last crash is further evidence.
func (r *partRecord) add(key dragonflypass.CrashID, suspect dragonflypass.CrashSuspect, suspected []dragonflypass.SharedPart, at time.Time) {
	if slices.Contains(r.crashes, key) {
		return
	}
	if len(r.crashes) == maxPartCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, key)
	if r.count > 0 && !suspect.SentAt.After(r.lastCrash.Add(-orderTolerance)) {
		return
	}
	r.count++
	r.restrictTo(suspect.Parts, suspected)
	if len(r.requests) < partRequestLimit && !slices.Contains(r.requests, suspect.Fingerprint) {
		r.requests = append(r.requests, suspect.Fingerprint)
	}
	r.addAccount(suspect.Fingerprint.Account)
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
}

func (r *partRecord) addAccount(account dragonflypass.AccountID) {
	if len(r.accounts) < partAccountLimit && !slices.Contains(r.accounts, account) {
		r.accounts = append(r.accounts, account)
	}
}

// restrictTo removes the parts that a further prompt does not have from common, and those that are not suspected in it from
// required.
func (r *partRecord) restrictTo(parts, suspected []dragonflypass.SharedPart) {
	if r.common == nil {
		r.common, r.required = parts, suspected
		return
	}
	r.common, r.required = intersection(r.common, parts), intersection(r.required, suspected)
}

// intersection returns the parts that both sorted lists have in common. It does not change the lists, which records share.
func intersection(a, b []dragonflypass.SharedPart) []dragonflypass.SharedPart {
	return slices.DeleteFunc(slices.Clone(a), func(part dragonflypass.SharedPart) bool {
		_, found := slices.BinarySearch(b, part)
		return !found
	})
}

// proved reports whether the evidence suffices for a quarantine.
func (r *partRecord) proved() bool {
	return r.quarantines > 0 || r.count >= partCrashLimit && len(r.requests) >= partRequestLimit
}

// quarantined reports whether the part is quarantined.
func (r *partRecord) quarantined(now time.Time) bool { return now.Before(r.quarantinedUntil) }

// quarantine starts or prolongs the quarantine.
func (r *partRecord) quarantine(now time.Time) {
	if !r.quarantined(now) {
		r.quarantines++
	}
	r.quarantinedUntil = now.Add(partQuarantineTime(r.quarantines))
}

// explainedBy reports whether another part, whose record is cause, was there at all crashes of this one. Parts that always
// occurred in the same prompts do not explain each other.
func (r *partRecord) explainedBy(part dragonflypass.SharedPart, cause *partRecord) bool {
	if len(r.crashes) == 0 || slices.Contains(r.common, part) {
		return false
	}
	return !slices.ContainsFunc(r.crashes, func(key dragonflypass.CrashID) bool { return !slices.Contains(cause.crashes, key) })
}

// partQuarantineTime returns the duration of the quarantine with the given number.
func partQuarantineTime(number int) time.Duration {
	const maxDoublings = 10
	return min(quarantineDuration, firstPartQuarantine<<min(max(number-1, 0), maxDoublings))
}

// refuses reports whether a request of the account with the parts, which are sorted, must not run during the quarantine.
func (r *partRecord) refuses(account dragonflypass.AccountID, parts []dragonflypass.SharedPart) bool {
	if len(r.accounts) < partAccountLimit && !slices.Contains(r.accounts, account) {
		return false
	}
	for _, part := range r.required {
		if _, found := slices.BinarySearch(parts, part); !found {
			return false
		}
	}
	return true
}

// expired reports whether the record may be removed. A part that has been quarantined is remembered longer, so that one
// crash suffices to quarantine it again.
func (r *partRecord) expired(now time.Time) bool {
	if r.quarantines > 0 {
		return now.Sub(r.quarantinedUntil) > quarantineDuration
	}
	return now.Sub(r.lastCrash) > suspectDuration
}
