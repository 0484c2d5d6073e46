/**
 * What was decided for recent requests, so that an operator can ask why one
 * went where it went. Bounded: the oldest request is forgotten first.
 */

/** Requests remembered; some minutes of an ordinary node's. */
const MAX_REQUESTS = 1000;

/** One step on a request's way. */
export interface ExplanationStep {
  /** Milliseconds since the request was taken. */
  readonly atMs: number;
  /** Such as `attempt`, `retry`, `hedge`, `seal`, `answer` or `refusal`. */
  readonly kind: string;
  readonly detail: Readonly<Record<string, unknown>>;
}

/** One request's way. */
export interface Explanation {
  readonly requestId: string;
  readonly service: string;
  readonly caller: string;
  readonly route: string;
  readonly startedAtMs: number;
  readonly steps: ExplanationStep[];
}

/** Told of each step, for logs. */
export type HandleStep = (requestId: string, step: ExplanationStep) => void;

/** Explanations of recent requests. */
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

  /** Formats a request's way for one line of a log. */
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

  /** Adds a step as of now. */
  add(kind: string, detail: Readonly<Record<string, unknown>>): void {
    const atMs = Math.round(performance.now() - this.startedAt);
    const step = {atMs, kind, detail};
    this.explanation.steps.push(step);
    this.handleStep?.(this.explanation.requestId, step);
  }
}
