// Command dragonflypass is the server process that runs on each entry VM.
package main
