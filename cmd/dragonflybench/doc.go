// Command dragonflybench runs experiments with the scheduling policies and
// measures the cost of decisions, messages and relayed streams.
package main
