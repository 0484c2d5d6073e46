/**
 * Retry budget: retries are paid from a share of the calls, because retries of
 * failing calls otherwise multiply the load that makes them fail.
 */

/** Tokens that a budget holds at most; bounds a burst of retries. */
const MAX_TOKENS = 20;
/**
 * Part of its bound that a new budget starts with: by default enough for all
 * that one lost worker had in flight, so that losing it is not felt.
 */
const INITIAL_PART = 0.5;
/** Callers with a budget of their own; the longest unused is forgotten. */
const MAX_CALLERS = 10_000;
/** Slack for sums of fractions that should come to a whole token. */
const EPSILON = 1e-9;

/** A budget that calls fill and retries draw from. */
export class TokenBudget {
  private tokens: number;

  constructor(private maxTokens = MAX_TOKENS) {
    this.tokens = maxTokens * INITIAL_PART;
  }

  /** Adds the share of one call. */
  add(share: number, maxTokens = this.maxTokens): void {
    this.maxTokens = maxTokens;
    this.tokens = Math.min(maxTokens, this.tokens + share);
  }

  /** Whether a draw of this size would succeed. */
  has(cost: number): boolean {
    return this.tokens + EPSILON >= cost;
  }

  /** Draws tokens; check with `has` first. */
  take(cost: number): void {
    this.tokens -= cost;
  }
}

/** Budgets of one service, for all its callers together and for each. */
export class RetryBudget {
  private readonly shared: TokenBudget;
  private readonly byCaller = new Map<string, TokenBudget>();

  constructor(private maxTokens = MAX_TOKENS) {
    this.shared = new TokenBudget(maxTokens);
  }

  /** Notes one call, which adds its share to both budgets. */
  recordCall(
    caller: string,
    budgetPercent: number,
    maxTokens = this.maxTokens,
  ): void {
    this.maxTokens = maxTokens;
    const share = budgetPercent / 100;
    this.shared.add(share, maxTokens);
    this.findCaller(caller).add(share, maxTokens);
  }

  /** Draws one retry of a caller; false when either budget is spent. */
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
