package ptintake

const (
	megabyte = 1 << 20
	// connectionBytes is the memory of a connection: the buffers of 18 and 4 KiB, two goroutines, and a
	// request of the largest size that is read without a reservation.
	connectionBytes = 48 << 10
	// Shares (1/n) of the memory of a machine. The rest is for the process without clients (25 MB), its
	// jobs and the garbage of the runtime.
	budgetShare, connectionShare = 6, 4
	// minBudget is the least budget. It is more than the largest request takes while it is decoded (6 MB).
	minBudget = 8 * megabyte
	// Shares (1/n) of the descriptors of a machine. More than a quarter is left to the sessions with
	// greeting, the store and the worker.
	callerShare, sessionShare, announcementShare, adminShare = 2, 8, 8, 16
	// Upper bounds of connections, which no ordinary load meets: an announcing worker has one connection,
	// a prober or a collector of metrics has one, and 680 agents that connect at once have greeted within
	// milliseconds each.
	maxWaitingSessions, maxAnnouncers, maxAdmins = 512, 256, 128
	// Limits of a machine whose settings don't name them.
	defaultMemoryMegabytes, defaultDescriptors = 256, 4096
)

// Plan is the division of a machine's memory and descriptors.
type Plan struct {
	// BudgetBytes bounds what has been read and not been decided yet.
	BudgetBytes int64
	// Callers, Announcers and Admins bound the connections of the callers' listener, of the worker's, and
	// of readiness and of metrics. WaitingSessions bounds the connections between own processes without a
	// greeting.
	Callers, Announcers, Admins, WaitingSessions int
}

// Derive divides the memory and the descriptors of a machine. Zero means that a limit is unknown.
func Derive(memoryMegabytes int64, descriptors int) Plan {
	if memoryMegabytes <= 0 {
		memoryMegabytes = defaultMemoryMegabytes
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory := memoryMegabytes * megabyte
	return Plan{
		BudgetBytes:     max(memory/budgetShare, minBudget),
		Callers:         max(1, min(descriptors/callerShare, int(memory/connectionShare/connectionBytes))),
		WaitingSessions: max(1, min(descriptors/sessionShare, maxWaitingSessions)),
		Announcers:      max(1, min(descriptors/announcementShare, maxAnnouncers)),
		Admins:          max(1, min(descriptors/adminShare, maxAdmins)),
	}
}
