/**
 * Records how each request of a node's callers ended: counters, latencies and a
 * log line with its steps.
 */
import type {RefusalError} from './protocol/reasons.js';
import {toRefusal} from './protocol/reasons.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from './protocol/service-request.js';
import {Verdict} from './protocol/verdict.js';
import type {Explanations} from './state/explanations.js';
import type {Logger} from './transport/logger.js';
import type {Metrics} from './transport/metrics.js';

/** Log of the callers' requests at one node. */
export class CallerLog {
  constructor(
    private readonly logger: Logger,
    private readonly metrics: Metrics,
    private readonly explanations: Explanations,
  ) {}

  /** Runs a request and records how it ended. */
  async recordRun(
    request: ServiceRequest,
    run: () => Promise<ServiceAnswer>,
  ): Promise<ServiceAnswer> {
    const startedAt = performance.now();
    let verdict: Verdict = Verdict.RAN;
    try {
      const answer = await run();
      this.metrics.count(`verdicts.${verdict}`);
      return answer;
    } catch (error) {
      ({verdict} = toRefusal(error));
      throw error;
    } finally {
      this.recordEnd(request, verdict, performance.now() - startedAt);
    }
  }

  private recordEnd(
    request: ServiceRequest,
    verdict: Verdict,
    elapsedMs: number,
  ): void {
    const {id, service, route, rank} = request;
    this.metrics.recordLatency({service, route, verdict}, elapsedMs);
    this.logger.write('info', 'request', {
      requestId: id,
      service,
      route,
      rank,
      verdict,
      elapsedMs: Math.round(elapsedMs),
      steps: this.explanations.formatSteps(id),
    });
  }

  recordRefusal(refusal: RefusalError, requestId: string): void {
    const {reason, verdict, detail, retryAfterMs = -1} = refusal;
    this.metrics.count(`refusals.${reason}`);
    this.metrics.count(`verdicts.${verdict}`);
    const context = {requestId, reason, verdict, detail, retryAfterMs};
    this.logger.write('info', 'refused', context);
  }

  /** Records a request that was read after its connection began to close. */
  recordDiscarded(requestId: string): void {
    this.metrics.count('requests.discarded');
    this.logger.write('info', 'request discarded', {requestId});
  }
}
