// Package assigner determines which entry VM owns each backend server. VMs that
// have the same members and configuration determine the same owners.
package assigner
