package expert

import "github.com/bramleyspool/bramleyspool/internal/ident"

// RankLoad is the work that one rank has open.
type RankLoad struct {
	Rank ident.Rank
	// Tokens is the number of tokens that the rank's open requests still generate a step,
	// which is the number of sequences, plus the prompt tokens that wait.
	Tokens float64
	// CacheTokens is the number of tokens in the rank's KV cache, and CacheLimit the most
	// that it holds.
	CacheTokens float64
	CacheLimit  float64
	// Unavailable is true for a rank that takes no new requests.
	Unavailable bool
}

// RankRequest is a request for which a rank is chosen.
type RankRequest struct {
	// PromptTokens is the length of the prompt, ExpectedTokens that of the answer.
	PromptTokens   float64
	ExpectedTokens float64
	// CachedTokens is the part of the prompt that each rank holds in its prefix cache, by
	// rank; nil if none is known.
	CachedTokens map[ident.Rank]float64
}

// ChooseRank returns the rank on which a request delays the group least, and false if no
// rank can take it. Ranks must be sorted; the first of equals wins.
func ChooseRank(ranks []RankLoad, request RankRequest) (ident.Rank, bool) {
	var chosen ident.Rank
	found := false
	best := 0.0
	for _, rank := range ranks {
		cached := min(request.CachedTokens[rank.Rank], request.PromptTokens)
		fresh := request.PromptTokens - cached
		cache := rank.CacheTokens + fresh + request.ExpectedTokens
		if rank.Unavailable || (rank.CacheLimit > 0 && cache > rank.CacheLimit) {
			continue
		}
		score := rank.Tokens + fresh + cacheReadCost*cache
		if !found || score < best {
			chosen, best, found = rank.Rank, score, true
		}
	}
	return chosen, found
}

// cacheReadCost is the cost of attending to one cached token, in tokens to compute.
const cacheReadCost = 0.002
