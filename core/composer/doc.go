// Package composer ties the decisions of one entry VM to each other; every
// front end, bench and test builds its nodes with it.
package composer
