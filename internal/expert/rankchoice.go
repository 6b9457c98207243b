package expert

import "github.com/bramleyspool/bramleyspool/internal/ident"

// RankLoad is the load of one rank from its open requests.
type RankLoad struct {
	Rank ident.Rank
	// Tokens is the number of open sequences, each of which generates one token per step, plus
	// the number of their prompt tokens that the rank has not processed yet.
	Tokens float64
	// CacheTokens is the number of tokens in the rank's KV cache, and CacheLimit is its
	// capacity in tokens; 0 means no limit.
	CacheTokens float64
	CacheLimit  float64
	// Unavailable is true for a rank that accepts no new requests.
	Unavailable bool
}

// RankRequest describes the request for which ChooseRank chooses a rank.
type RankRequest struct {
	// PromptTokens is the length of the prompt in tokens, and ExpectedTokens that of the answer.
	PromptTokens   float64
	ExpectedTokens float64
	// CachedTokens is the number of prompt tokens in the prefix cache of each rank. Ranks
	// without an entry count as 0.
	CachedTokens map[ident.Rank]float64
}

// ChooseRank returns the rank on which the request adds the least delay to the group. It returns
// false if all ranks are unavailable or lack cache space. ranks must be sorted by rank, so that
// ties are always resolved in the same way: the first one is chosen.
func ChooseRank(ranks []RankLoad, request RankRequest) (ident.Rank, bool) {
	var chosen ident.Rank
	found := false
	best := 0.0
	for _, rank := range ranks {
		cached := min(request.CachedTokens[rank.Rank], request.PromptTokens)
		uncached := request.PromptTokens - cached
		cache := rank.CacheTokens + uncached + request.ExpectedTokens
		if rank.Unavailable || (rank.CacheLimit > 0 && cache > rank.CacheLimit) {
			continue
		}
		score := rank.Tokens + uncached + cacheReadCost*cache
		if !found || score < best {
			chosen, best, found = rank.Rank, score, true
		}
	}
	return chosen, found
}

// cacheReadCost is the cost of attending to one cached token, relative to computing a token.
const cacheReadCost = 0.002
