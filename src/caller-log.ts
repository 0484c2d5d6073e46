/**
 * Records how each request of a node's callers ended: counters, latencies and a
 * log line with its steps.
 */
import type {RefusalError} from './protocol/reasons.js';
import type {ServiceRequest} from './protocol/service-request.js';
import type {Verdict} from './protocol/verdict.js';
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

  /** Records the end of a request that was passed to the entry. */
  recordEnd(
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
