package standin

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"math"
	randv2 "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/endpoint"
)

// bootID identifies this process in load reports.
var bootID = newBootID()

func newBootID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// EngineOptions configures an engine stand-in.
type EngineOptions struct {
	Name string
	// Seed determines the lengths of generations whose request states no
	// max_tokens.
	Seed uint64
	// MemoryTokens is the size of the KV-cache in tokens.
	MemoryTokens int
	// Sequences is the maximum batch size. A cold engine with more than
	// ColdSequences running generations is slow.
	Sequences     int
	ColdSequences int
	// WarmTokens is the number of tokens that a cold engine generates until it is
	// warm.
	WarmTokens int64
	// StepBase is the time of one decode step, to which StepPerSequence is added
	// for each running generation.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// ReportLag is the interval at which the load report is refreshed, and so its
	// maximum age.
	ReportLag time.Duration
	// Grace is how long a generation continues without a reader.
	Grace time.Duration
	// IgnoreFencing accepts orders with an outdated fencing token.
	IgnoreFencing bool
}

const (
	// coldSlowdown multiplies the step time of a cold engine with more than
	// ColdSequences running generations.
	coldSlowdown = 10
	// prefixTokens is the length of the cached prefix of a prompt, in tokens of
	// four bytes. Shorter prompts are not cached.
	prefixTokens = 64
	// maxPrefixes is the size of the prefix cache.
	maxPrefixes = 256
	// medianLength and lengthSigma are the parameters of the log-normal
	// distribution of random answer lengths, and maxLength is their upper bound.
	medianLength = 200
	lengthSigma  = 1.0
	maxLength    = 32768
	// idlePoll is how long an engine without running generations sleeps.
	idlePoll = 2 * time.Millisecond
)

// Engine is a model engine with continuous batching. Use NewEngine to create it.
type Engine struct {
	base
	op EngineOptions

	// stateMu protects the following fields.
	stateMu sync.Mutex
	running []*generation
	waiting []*generation
	// generations has all generations that can be resumed, by ID.
	generations map[string]*generation
	// prefixes is the prefix cache. Its keys are hashes of prefixes, and its
	// values are not read.
	prefixes      map[uint64]int64
	cacheLog      []endpoint.CacheEvent
	report        endpoint.Load
	reportedAt    time.Time
	started       int64
	preempted     int64
	coldOverloads int64
	// warmupTokens counts the tokens generated since the engine turned cold.
	warmupTokens int64
	cold         bool
	// fencing is the highest fencing token received with an order.
	fencing int64
	orders  []endpoint.Order
}

// generation is one request. The text of each token is derived from the seed and
// its offset, so no text is stored.
type generation struct {
	id       string
	seed     uint64
	priority int
	// prompt is the length of the prompt, length that of the answer and done the
	// number of generated tokens, including those of a forced prefix. All are in
	// tokens.
	prompt int
	length int64
	done   int64
	// heldTokens is the KV-cache memory in use, zero while waiting.
	heldTokens int
	readers    int
	// readersChangedAt is the time at which the generation was created or a
	// reader last connected or disconnected.
	readersChangedAt time.Time
	canceled         bool
	chat             bool
	// changed is closed and replaced at each new token.
	changed chan struct{}
}

// NewEngine returns a cold engine and starts its decode loop, which never ends.
func NewEngine(op EngineOptions) *Engine {
	en := &Engine{op: op, generations: make(map[string]*generation), prefixes: make(map[uint64]int64), cold: true}
	en.onCold = en.turnCold
	go en.runSteps()
	return en
}

func (en *Engine) turnCold() {
	en.stateMu.Lock()
	defer en.stateMu.Unlock()
	en.cold, en.warmupTokens = true, 0
	en.prefixes = make(map[uint64]int64)
}

// engineLoad extends the published load report with information for tests.
type engineLoad struct {
	endpoint.Load
	ColdOverloads int64            `json:"cold_overloads"`
	Orders        []endpoint.Order `json:"orders,omitempty"`
}

// Load implements Handler. Unlike the published report, it is always current.
func (en *Engine) Load() any {
	en.stateMu.Lock()
	defer en.stateMu.Unlock()
	return engineLoad{Load: en.currentLoad(), ColdOverloads: en.coldOverloads, Orders: en.orders}
}

func (en *Engine) currentLoad() endpoint.Load {
	return endpoint.Load{
		BootID: bootID, Running: len(en.running), Waiting: len(en.waiting), StartedTotal: en.started,
		PreemptedTotal: en.preempted, MemoryUsed: en.memoryUsed(), MemoryTotal: en.op.MemoryTokens,
	}
}

func (en *Engine) memoryUsed() int {
	used := 0
	for _, ge := range en.running {
		used += ge.heldTokens
	}
	return used
}

// Serve implements Handler.
func (en *Engine) Serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case ctx.IsPost() && (path == "/v1/completions" || path == "/v1/chat/completions"):
		en.serveGenerate(ctx)
	case path == "/load":
		en.serveLoad(ctx)
	case path == "/cache/events":
		en.serveCacheEvents(ctx)
	case path == "/orders":
		en.serveOrder(ctx)
	case strings.HasPrefix(path, "/v1/generations/"):
		en.serveGeneration(ctx, strings.TrimPrefix(path, "/v1/generations/"))
	default:
		ctx.Error("no such path", http.StatusNotFound)
	}
}

// serveLoad answers with the load report, which is up to ReportLag old.
func (en *Engine) serveLoad(ctx *fasthttp.RequestCtx) {
	en.stateMu.Lock()
	if time.Since(en.reportedAt) >= en.op.ReportLag {
		en.report, en.reportedAt = en.currentLoad(), time.Now()
	}
	lo := en.report
	en.stateMu.Unlock()
	writeJSON(ctx, lo)
}

func (en *Engine) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := int64(ctx.QueryArgs().GetUintOrZero("after"))
	list := []endpoint.CacheEvent{}
	en.stateMu.Lock()
	for _, ev := range en.cacheLog {
		if ev.Sequence > after {
			list = append(list, ev)
		}
	}
	en.stateMu.Unlock()
	writeJSON(ctx, list)
}

// serveOrder records an order, or refuses it if its fencing token is lower than
// the highest one received.
func (en *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	fencing, err := strconv.ParseInt(string(ctx.Request.Header.Peek(endpoint.FencingHeader)), 10, 64)
	var or endpoint.Order
	if err == nil {
		err = json.Unmarshal(ctx.PostBody(), &or)
	}
	if err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	en.stateMu.Lock()
	defer en.stateMu.Unlock()
	if fencing < en.fencing && !en.op.IgnoreFencing {
		ctx.Error("old fencing number", http.StatusPreconditionFailed)
		return
	}
	en.fencing = max(en.fencing, fencing)
	en.orders = append(en.orders, or)
}

// completion has the fields of an OpenAI request that the stand-in uses.
type completion struct {
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
}

func (en *Engine) serveGenerate(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(endpoint.GenerationHeader))
	var co completion
	if err := json.Unmarshal(ctx.PostBody(), &co); err != nil || id == "" {
		ctx.Error("bad request", http.StatusBadRequest)
		return
	}
	en.record(id, string(ctx.Path()), headerInt(ctx, endpoint.ForcedPrefixHeader))
	en.crashOn(ctx.PostBody())
	ge := en.joinOrQueue(ctx, id, co)
	en.stream(ctx, ge, headerInt(ctx, endpoint.ForcedPrefixHeader))
}

// headerInt returns the integer value of a request header, or 0 if it is missing
// or malformed.
func headerInt(ctx *fasthttp.RequestCtx, name string) int64 {
	value, err := strconv.ParseInt(string(ctx.Request.Header.Peek(name)), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// joinOrQueue returns the existing generation with that id, or queues a new one.
func (en *Engine) joinOrQueue(ctx *fasthttp.RequestCtx, id string, co completion) *generation {
	text := co.Prompt + string(co.Messages)
	seed := uint64(headerInt(ctx, endpoint.SeedHeader))
	length := co.MaxTokens
	if length <= 0 {
		rn := randv2.New(randv2.NewPCG(en.op.Seed, seed))
		length = min(maxLength, 1+int64(medianLength*math.Exp(lengthSigma*rn.NormFloat64())))
	}
	en.stateMu.Lock()
	defer en.stateMu.Unlock()
	if ge, found := en.generations[id]; found {
		return ge
	}
	ge := &generation{
		id: id, seed: seed, priority: int(headerInt(ctx, endpoint.PriorityHeader)), prompt: len(text)/4 + 1,
		length: length, done: headerInt(ctx, endpoint.ForcedPrefixHeader), readersChangedAt: time.Now(),
		chat: strings.Contains(string(ctx.Path()), "chat"), changed: make(chan struct{}),
	}
	en.generations[id] = ge
	en.waiting = append(en.waiting, ge)
	en.cachePrefix(text)
	return ge
}

// cachePrefix adds the prefix of a prompt to the cache, evicts others if the cache
// is full, and publishes the events.
func (en *Engine) cachePrefix(text string) {
	if len(text) < prefixTokens*4 {
		return
	}
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(text[:prefixTokens*4]))
	prefix := ha.Sum64()
	if _, found := en.prefixes[prefix]; found {
		return
	}
	for old := range en.prefixes {
		if len(en.prefixes) < maxPrefixes {
			break
		}
		delete(en.prefixes, old)
		en.publishCacheEvent(endpoint.CacheEvent{Prefix: old, Evicted: true})
	}
	en.prefixes[prefix] = en.started
	en.publishCacheEvent(endpoint.CacheEvent{Prefix: prefix})
}

func (en *Engine) publishCacheEvent(ev endpoint.CacheEvent) {
	ev.Sequence = int64(len(en.cacheLog)) + 1
	en.cacheLog = append(en.cacheLog, ev)
}

// serveGeneration resumes the event stream of a generation at an offset, or cancels
// the generation on DELETE. With the header endpoint.UnreadHeader, it refuses to
// cancel a generation that has a reader.
func (en *Engine) serveGeneration(ctx *fasthttp.RequestCtx, rest string) {
	id, events := strings.CutSuffix(rest, "/events")
	en.stateMu.Lock()
	ge, found := en.generations[id]
	hasReader := found && ge.readers > 0 && len(ctx.Request.Header.Peek(endpoint.UnreadHeader)) > 0
	if found && ctx.IsDelete() && !hasReader {
		ge.canceled = true
		delete(en.generations, id)
	}
	en.stateMu.Unlock()
	switch {
	case ctx.IsDelete() && hasReader:
		ctx.Error("somebody reads the generation", http.StatusConflict)
	case ctx.IsDelete():
	case !found || !events:
		ctx.Error("no such generation", http.StatusNotFound)
	default:
		offset := int64(ctx.QueryArgs().GetUintOrZero("offset"))
		en.record(id, string(ctx.Path()), offset)
		en.stream(ctx, ge, offset)
	}
}
