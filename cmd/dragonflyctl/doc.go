// Command dragonflyctl is the operators' tool.
package main
