// Package simulator plays a site's prompts in virtual time against engines that
// keep to their law, with the real allocator, to compare policies.
package simulator
