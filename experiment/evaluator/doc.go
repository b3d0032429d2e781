// Package evaluator runs the scenarios of the policy experiment and holds
// their figures against the targets.
package evaluator
