// Package evacuator keeps the set of zones whose servers receive no new work because the operators evacuate them.
package evacuator
