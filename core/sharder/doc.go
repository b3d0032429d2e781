// Package sharder divides the model servers of a service into shards, and moves permit requests from busy shards to others.
package sharder
