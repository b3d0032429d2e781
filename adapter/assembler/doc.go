// Package assembler builds the process of an entry VM from its settings: it
// connects the core with the adapters and starts and stops both.
package assembler
