// Package encoder converts log records and configuration items to JSON and
// back.
package encoder
