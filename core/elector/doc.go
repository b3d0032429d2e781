// Package elector selects the entry VMs that perform a duty for others. Every VM derives the same choice from the same
// members, without a vote.
package elector
