// Package reserver sets memory aside at model servers for prompts that one of
// them cannot hold, keeps it while the prompt needs it and gives it back.
package reserver
