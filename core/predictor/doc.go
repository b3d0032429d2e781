// Package predictor simulates the passes of a model server with the cost model
// of its engine. It predicts when queued prompts will have been processed, and
// how long the event gaps of the server's streams will be.
package predictor
