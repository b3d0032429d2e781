// Command dragonflyctl is the command-line tool for operators of entry VMs.
package main
