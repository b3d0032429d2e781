// Package assembler puts the process of an entry VM together: the decisions of
// the core with the adapters, by the settings.
package assembler
