package admission

import (
	"math"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/warmup"
)

// account is the state that the allocator keeps for one endpoint. Memory
// values are sizes of its KV-cache in tokens.
type account struct {
	Candidate
	warm          warmup.State
	tokenLatency  tokenLatency
	recentLatency recentLatency
	backOff       backOff
	// paused is set while the endpoint gets no new work because of backOff.
	paused bool
	// sequences are the requests in flight at the endpoint. preemptFirst
	// counts those with preemptFirstPriority.
	sequences    []*sequence
	preemptFirst int
	// totalForecast is the sum of the memory forecasts of all sequences, and
	// used their current memory in tokens.
	totalForecast forecast
	used          float64
	// peaks holds the highest value of used in the current and in the previous
	// report period.
	peaks [2]float64
	// untracked is the memory in use, in tokens, that exceeds what the known
	// sequences account for.
	untracked float64
	// reportedMemory is the total memory that the endpoint reports, in tokens,
	// or zero if unknown.
	reportedMemory float64
	// bootID and preemptedTotal come from the last report of the endpoint.
	bootID         string
	preemptedTotal int64
	// score orders the accounts of an index, and position is where the account
	// is in the list of the index.
	score    float64
	index    *index
	position int
}

const (
	// reservedSequences is the number of slots that long requests leave free
	// for short and resumed ones.
	reservedSequences = 2
	// ampleRoomShare is the share of the memory above which further room has
	// no benefit, and the endpoint with the shorter decode step is the better
	// choice.
	ampleRoomShare = 0.05
	// sequenceCostTokens is the memory, in tokens, that a sequence is taken to
	// cost in addition to what it uses now. It stands for the time that the
	// sequence adds to a decode step and for the tokens that it will still
	// produce.
	sequenceCostTokens = 800
	// reservedMemoryShare is the share of the memory that long requests leave
	// free for short and resumed ones.
	reservedMemoryShare = 0.01
)

// decodes reports whether the endpoint generates tokens, so that its memory
// limits the requests in flight.
func (ac *account) decodes() bool { return ac.Endpoint.Capacity.MemoryTokens > 0 }

// memory returns the memory of the endpoint that the allocator can use, in
// tokens.
func (ac *account) memory() float64 {
	memory := float64(ac.Endpoint.Capacity.MemoryTokens)
	if ac.reportedMemory > 0 {
		memory = min(memory, ac.reportedMemory)
	}
	return memory - ac.untracked
}

// limit returns how many requests the endpoint can currently run at once.
func (ac *account) limit() int {
	limit := min(ac.warm.Allowed(), ac.Endpoint.Capacity.Sequences)
	if ac.decodes() {
		limit = min(limit, ac.tokenLatency.limit())
	}
	return limit
}

// hasFreeSlot reports whether the endpoint can run one more request. Without
// useReserved, as for long requests, reservedSequences slots stay free at an
// endpoint that decodes, unless its limit is at most twice that number.
func (ac *account) hasFreeSlot(useReserved bool) bool {
	limit := ac.limit()
	if !useReserved && ac.decodes() && limit > 2*reservedSequences {
		limit -= reservedSequences
	}
	return len(ac.sequences) < limit
}

// saturated reports whether the endpoint runs as many requests as its warm-up
// state allows, leaving out the reserved slots. Only work under this load
// counts towards the warm-up.
func (ac *account) saturated() bool {
	allowed := ac.warm.Allowed()
	if ac.decodes() && allowed > 2*reservedSequences {
		allowed -= reservedSequences
	}
	return len(ac.sequences) >= allowed
}

// ready reports whether the endpoint currently accepts any new request.
func (ac *account) ready() bool { return ac.Eligible && !ac.paused && ac.hasFreeSlot(true) }

// computeScore returns the score of the account, higher is better. It is
// negative infinity if the endpoint accepts no new request, and the share of
// free slots if the endpoint does not decode. Otherwise it is the memory left
// at the given risk while memory is scarce. If there is ample memory, it prefers
// the endpoint with the shortest expected decode step.
func (ac *account) computeScore(risk float64) float64 {
	if !ac.ready() {
		return math.Inf(-1)
	}
	if !ac.decodes() {
		return float64(ac.limit()-len(ac.sequences)) / float64(ac.Endpoint.Capacity.Sequences)
	}
	memory := ac.memory()
	room := ac.totalForecast.room(memory, risk)
	if room < ampleRoomShare*memory {
		return room
	}
	return 2*memory - ac.used - sequenceCostTokens*float64(len(ac.sequences))
}

func (ac *account) excluded(re *Request) bool { return slices.Contains(re.Exclude, ac.Endpoint.Name) }

func (ac *account) add(se *sequence) {
	se.ac, se.position = ac, len(ac.sequences)
	ac.sequences = append(ac.sequences, se)
	ac.totalForecast.add(&se.memoryForecast)
	ac.addUsed(se.used())
}

func (ac *account) remove(se *sequence) {
	last := len(ac.sequences) - 1
	moved := ac.sequences[last]
	ac.sequences[se.position], moved.position = moved, se.position
	ac.sequences[last] = nil
	ac.sequences = ac.sequences[:last]
	ac.totalForecast.subtract(&se.memoryForecast)
	ac.addUsed(-se.used())
	if se.preemptFirst {
		ac.preemptFirst--
	}
	if last == 0 {
		ac.totalForecast, ac.used = forecast{}, 0
	}
}

func (ac *account) addUsed(tokens float64) {
	ac.used += tokens
	ac.peaks[0] = max(ac.peaks[0], ac.used)
}

// updateForecast recomputes the forecast of one sequence and its part of the
// total.
func (ac *account) updateForecast(se *sequence, knownLength int64) {
	ac.totalForecast.subtract(&se.memoryForecast)
	se.computeForecast(knownLength)
	ac.totalForecast.add(&se.memoryForecast)
}

// advance records that the answer of a sequence has grown to the given number
// of tokens.
func (ac *account) advance(now time.Time, se *sequence, tokens int64) {
	fresh := tokens - se.tokens
	if !se.lastProgress.IsZero() && se.tokens > se.base {
		ac.tokenLatency = ac.tokenLatency.with(now.Sub(se.lastProgress), fresh, len(ac.sequences))
	}
	se.tokens, se.lastProgress = tokens, now
	ac.backOff.failures = 0
	ac.addUsed(float64(fresh))
}

// applyReport updates the account from the memory that the endpoint reports.
// Reports lag behind, so only memory beyond the peak of the last two report
// periods counts as untracked, and a report of less memory than is known
// changes nothing.
func (ac *account) applyReport(lo endpoint.Load) {
	known := max(ac.peaks[0], ac.peaks[1])
	ac.untracked = max(float64(lo.MemoryUsed)-known, 0)
	ac.peaks = [2]float64{ac.used, ac.peaks[0]}
	ac.reportedMemory = float64(lo.MemoryTotal)
}
