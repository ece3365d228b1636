package ptslots

// backlog is the heap of waiting tasks: the oldest order key first, and within
// a job the lowest index. It implements heap.Interface.
type backlog []*Task

func (backlog backlog) Len() int { return len(backlog) }

func (backlog backlog) Less(i, j int) bool {
	left, right := backlog[i].Dispatch, backlog[j].Dispatch
	if left.OrderNanos != right.OrderNanos {
		return left.OrderNanos < right.OrderNanos
	}
	return left.Index < right.Index
}

func (backlog backlog) Swap(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] }

// Push implements heap.Interface.
func (backlog *backlog) Push(item any) {
	if waiting, ok := item.(*Task); ok {
		*backlog = append(*backlog, waiting)
	}
}

// Pop implements heap.Interface.
func (backlog *backlog) Pop() (item any) {
	old := *backlog
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*backlog = old[:len(old)-1]
	return last
}
