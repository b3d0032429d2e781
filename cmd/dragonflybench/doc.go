// Command dragonflybench runs experiments with the decisions and measures
// their cost.
package main
