/**
 * Keeps the decisions made for recent requests, so that an operator can find
 * out why a request was routed as it was. The oldest requests are evicted.
 */

/** Requests kept; an ordinary node handles as many in some minutes. */
const MAX_REQUESTS = 1000;

/** One step in the handling of a request. */
export interface ExplanationStep {
  /** Milliseconds since the request was accepted. */
  readonly atMs: number;
  /** Kind, such as `attempt`, `retry`, `hedge`, `answer` or `refusal`. */
  readonly kind: string;
  readonly detail: Readonly<Record<string, unknown>>;
}

/** The steps in the handling of one request. */
export interface Explanation {
  readonly requestId: string;
  readonly service: string;
  readonly caller: string;
  readonly route: string;
  /** Unix time in milliseconds. */
  readonly startedAtMs: number;
  readonly steps: ExplanationStep[];
}

/** Called with each step, for logs. */
export type HandleStep = (requestId: string, step: ExplanationStep) => void;

/** Keeps the explanations of recent requests. */
export class Explanations {
  private readonly byId = new Map<string, Explanation>();

  constructor(private readonly handleStep?: HandleStep) {}

  /** Starts the explanation of a request. */
  start(request: {
    readonly id: string;
    readonly service: string;
    readonly caller: string;
    readonly route: string;
  }): RequestExplainer {
    const explanation: Explanation = {
      requestId: request.id,
      service: request.service,
      caller: request.caller,
      route: request.route,
      startedAtMs: Date.now(),
      steps: [],
    };
    this.byId.delete(request.id);
    this.byId.set(request.id, explanation);
    if (this.byId.size > MAX_REQUESTS) {
      const [oldest] = this.byId.keys();
      this.byId.delete(oldest!);
    }
    return new RequestExplainer(explanation, this.handleStep);
  }

  /** Formats a request's steps for one log line. */
  formatSteps(requestId: string): string {
    const steps = this.byId.get(requestId)?.steps ?? [];
    return steps
      .map(({atMs, kind, detail}) => {
        const values = Object.entries(detail)
          .filter(([, value]) => value !== undefined && value !== '')
          .map(([name, value]) => `${name}=${String(value)}`);
        return `${atMs}ms ${[kind, ...values].join(' ')}`;
      })
      .join('; ');
  }

  /** Finds the explanation of a recent request. */
  find(requestId: string): Explanation | undefined {
    return this.byId.get(requestId);
  }
}

/** Adds steps to one request's explanation. */
export class RequestExplainer {
  private readonly startedAt = performance.now();

  constructor(
    private readonly explanation: Explanation,
    private readonly handleStep?: HandleStep,
  ) {}

  /** Adds a step with the current time. */
  add(kind: string, detail: Readonly<Record<string, unknown>>): void {
    const atMs = Math.round(performance.now() - this.startedAt);
    const step = {atMs, kind, detail};
    this.explanation.steps.push(step);
    this.handleStep?.(this.explanation.requestId, step);
  }
}
