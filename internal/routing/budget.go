package routing

// A retry costs one token; each first send earns a tenth of one.
const (
	tokenRetry = 1000
	tokenEarn  = 100
	tokenStart = 10 * tokenRetry
	tokenMost  = 100 * tokenRetry
)

// budget bounds retries to a share of the first sends.
type budget struct{ tokens int }

func newBudget() budget { return budget{tokenStart} }

func (b *budget) earn() { b.tokens = min(b.tokens+tokenEarn, tokenMost) }

func (b *budget) has() bool { return b.tokens >= tokenRetry }

// spend takes the token of one retry if there is one.
func (b *budget) spend() bool {
	if !b.has() {
		return false
	}
	b.tokens -= tokenRetry
	return true
}
