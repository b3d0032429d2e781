// Command dragonflypass is the process of an entry VM.
package main
