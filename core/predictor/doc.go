// Package predictor works out the passes of a model server from the law of its
// engine: when prompts given to it will have been processed, and how long the
// pauses of its streams will be.
package predictor
