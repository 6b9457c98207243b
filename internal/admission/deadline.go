package admission

// deadlineHeap orders the queued requests by their latest dispatch time.
type deadlineHeap []*request

// Len returns the number of requests.
func (h deadlineHeap) Len() int { return len(h) }

// Less orders two requests.
func (h deadlineHeap) Less(i, j int) bool {
	if !h[i].startBy.Equal(h[j].startBy) {
		return h[i].startBy.Before(h[j].startBy)
	}
	return h[i].id < h[j].id
}

// Swap exchanges two requests.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends a request.
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop removes the last request.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.index = -1
	return r
}
