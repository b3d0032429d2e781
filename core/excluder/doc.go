// Package excluder keeps track of the backend servers to which this VM must
// send no new requests because they have said so in a response.
package excluder
