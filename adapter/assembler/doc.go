// Package assembler puts the parts of an entry VM's process together.
package assembler
