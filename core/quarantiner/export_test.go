package quarantiner

// PartCounts returns the number of records of shared parts, and the number of parts whose begun answers are known.
func (q *Quarantiner) PartCounts() (records, begun int) {
	return len(q.parts.records), len(q.parts.begun) + len(q.parts.previousBegun)
}

// CrashCounts returns the number of suspected and quarantined requests, and the number of recorded crashes.
func (q *Quarantiner) CrashCounts() (suspects, crashes int) { return len(q.suspects), len(q.crashes) }
