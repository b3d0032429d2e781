package allocator

// hasCapacity reports whether the server has a free slot, and enough memory for the whole request. For an oversize
// request in several parts, half of the server's memory is enough.
func (c *cluster) hasCapacity(q *queuedRequest, s *server, parts int) bool {
	if s.streams >= c.costModel.Slots {
		return false
	}
	tokens := c.requiredTokens(q)
	if c.isOversize(tokens) && parts > 1 {
		return s.freeTokens(c.costModel) >= c.costModel.KVCapacity/2
	}
	return s.freeTokens(c.costModel) >= tokens
}

// isOversize reports whether the tokens need more memory than one server should provide.
func (c *cluster) isOversize(tokens int) bool {
	return tokens > int(oversizeShare*float64(c.costModel.KVCapacity))
}

// reserveTokens spreads the memory that the first server lacks over the helpers, and reports whether they have enough.
func (c *cluster) reserveTokens(q *queuedRequest, target *placement) bool {
	shortfall := c.requiredTokens(q) - target.server.freeTokens(c.costModel) + memoryMargin
	if shortfall <= memoryMargin {
		return true
	}
	target.helperMemory = make([]int, len(target.helpers))
	for i, s := range target.helpers {
		free := s.freeTokens(c.costModel) - memoryMargin
		if shortfall <= 0 || free < memoryMargin {
			continue
		}
		target.helperMemory[i] = min(free, shortfall)
		shortfall -= target.helperMemory[i]
	}
	return shortfall <= 0
}

// requiredTokens returns the memory that the request is expected to need, in tokens.
func (c *cluster) requiredTokens(q *queuedRequest) int {
	return q.request.PromptTokens + max(c.expectedOutput(q), q.request.ExpectedOutput.High)
}

// expectedOutput returns the expected length of the request's answer in tokens.
func (c *cluster) expectedOutput(q *queuedRequest) int {
	if q.request.OutputTokens > 0 {
		return min(c.costModel.MeanOutputTokens, q.request.OutputTokens)
	}
	return c.costModel.MeanOutputTokens
}

// minOutput returns the length of the request's answer in tokens that is expected to take the least time. The caller's own
// estimate may be far off, so that it is used only as far as answers of other requests confirm it.
func (c *cluster) minOutput(q *queuedRequest) int {
	if known := q.request.ExpectedOutput.Mean; known > 0 {
		return known
	}
	tokens := c.expectedOutput(q)
	if hint := q.request.ExpectedTokens; hint > 0 {
		tokens = min(tokens, hint)
	}
	return tokens
}
