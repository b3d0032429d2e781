// Package evaluator runs the scenarios of the policy experiment and checks the measured figures against
// the targets.
package evaluator
