package routing

// Costs and limits of the retry budget, in thousandths of a token. A retry costs
// one token; each first send earns a tenth of one.
const (
	retryCost     = 1000
	earnedPerSend = 100
	initialTokens = 10 * retryCost
	maxTokens     = 100 * retryCost
)

// retryBudget is a token bucket that limits retries to a share of the first
// sends.
type retryBudget struct{ tokens int }

func newRetryBudget() retryBudget { return retryBudget{initialTokens} }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+earnedPerSend, maxTokens) }

func (b *retryBudget) canSpend() bool { return b.tokens >= retryCost }

// spend takes the tokens of one retry. It returns false and takes nothing if
// the budget is exhausted.
func (b *retryBudget) spend() bool {
	if !b.canSpend() {
		return false
	}
	b.tokens -= retryCost
	return true
}
