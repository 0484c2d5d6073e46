/**
 * Retry budget: limits retries to a fraction of the calls. Without a limit,
 * retries of failing calls multiply the load that makes them fail.
 */

/** Default capacity of a budget in tokens; bounds a burst of retries. */
const DEFAULT_MAX_TOKENS = 20;
/**
 * Fraction of its capacity that a new budget starts with. The default is enough
 * to retry all requests that one lost worker had in flight.
 */
const INITIAL_FILL_FRACTION = 0.5;
/** Callers with their own budget; beyond these the oldest is evicted. */
const MAX_CALLERS = 10_000;
/** Tolerance for rounding errors in sums of fractions of a token. */
const EPSILON = 1e-9;

/** A token budget that calls fill and retries draw from. */
export class TokenBudget {
  private tokens: number;

  constructor(private maxTokens = DEFAULT_MAX_TOKENS) {
    this.tokens = maxTokens * INITIAL_FILL_FRACTION;
  }

  /** Adds the tokens of one call. */
  add(tokensPerCall: number, maxTokens = this.maxTokens): void {
    this.maxTokens = maxTokens;
    this.tokens = Math.min(maxTokens, this.tokens + tokensPerCall);
  }

  /** Whether at least `cost` tokens are left. */
  has(cost: number): boolean {
    return this.tokens + EPSILON >= cost;
  }

  /** Draws tokens; check with `has` first. */
  take(cost: number): void {
    this.tokens -= cost;
  }
}

/** Retry budgets of one service: one shared by all callers, one for each. */
export class RetryBudget {
  private readonly shared: TokenBudget;
  private readonly byCaller = new Map<string, TokenBudget>();

  constructor(private maxTokens = DEFAULT_MAX_TOKENS) {
    this.shared = new TokenBudget(maxTokens);
  }

  /** Records one call, which adds tokens to both budgets. */
  recordCall(
    caller: string,
    budgetPercent: number,
    maxTokens = this.maxTokens,
  ): void {
    this.maxTokens = maxTokens;
    const tokensPerCall = budgetPercent / 100;
    this.shared.add(tokensPerCall, maxTokens);
    this.findCaller(caller).add(tokensPerCall, maxTokens);
  }

  /** Draws the tokens of a retry; false when either budget has too few. */
  take(caller: string, cost: number): boolean {
    const own = this.findCaller(caller);
    if (!this.shared.has(cost) || !own.has(cost)) return false;
    this.shared.take(cost);
    own.take(cost);
    return true;
  }

  private findCaller(caller: string): TokenBudget {
    let budget = this.byCaller.get(caller);
    if (budget) return budget;
    budget = new TokenBudget(this.maxTokens);
    this.byCaller.set(caller, budget);
    if (this.byCaller.size > MAX_CALLERS) {
      const [oldest] = this.byCaller.keys();
      this.byCaller.delete(oldest!);
    }
    return budget;
  }
}
