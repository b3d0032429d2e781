// Package interrupter forwards TCP connections over loopback and delays, silences or resets them.
package interrupter
