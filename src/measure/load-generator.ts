/**
 * Open-loop load generator: calls are sent at their scheduled times whether or
 * not earlier ones were answered, so that queueing shows in the quantiles. Each
 * answer is checked against its call. The generator runs in another process
 * than the nodes and stand-ins.
 */
import type {Dispatcher} from 'undici';
import {Pool} from 'undici';
import {CALLER_ID, IDEMPOTENCY_KEY, REQUEST_ID} from '../protocol/headers.js';
import {Verdict} from '../protocol/verdict.js';
import type {AnswerResult} from './answer-check.js';
import {checkAnswer} from './answer-check.js';
import type {CallBody} from './call-body.js';
import {buildCallBody} from './call-body.js';
import type {Quantiles} from './latency.js';
import {LatencyHistogram} from './latency.js';
import type {CallKind, LoadPlan, ScheduledCall} from './load-plan.js';
import {buildSchedule} from './load-plan.js';

/** Connections to one target; a worker's host handles as many today. */
const CONNECTIONS_PER_TARGET = 250;
const ANSWER_TIMEOUT_MS = 60_000;
/** Calls due within this time are sent without waiting for a timer. */
const TIMER_SLACK_MS = 0.5;
const MAX_KEPT_FAULTS = 10;

const METHODS: Readonly<Record<CallKind, Dispatcher.HttpMethod>> = {
  lookup: 'GET',
  booking: 'POST',
  upload: 'PUT',
};

/** Results of the streams that have one name. */
export interface StreamReport {
  readonly requests: number;
  readonly right: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly upstreamErrors: number;
  readonly latency: Quantiles;
}

/** Results of one load run. */
export interface LoadReport {
  readonly requests: number;
  readonly right: number;
  /** Refusals by reason. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Number of answers that were errors of the upstreams themselves. */
  readonly upstreamErrors: number;
  /** Calls without an answer by error code. */
  readonly unanswered: Readonly<Record<string, number>>;
  readonly wrong: number;
  readonly truncated: number;
  /** Descriptions of the first faults. */
  readonly faults: readonly string[];
  readonly latency: Quantiles;
  readonly streams: Readonly<Record<string, StreamReport>>;
  /** Delay of calls behind their schedule; large values invalidate the run. */
  readonly generatorLag: Quantiles;
  readonly bookings: BookingOutcomes;
}

/** Outcomes of the bookings as their callers know them. */
export interface BookingOutcomes {
  /** Keys of the bookings that were answered. */
  readonly answered: ReadonlySet<string>;
  /** Keys of the bookings of which every call was refused as not run. */
  readonly notRun: ReadonlySet<string>;
}

/** Sends the calls of a plan and returns the results. */
export async function runLoad(
  plan: LoadPlan,
  signal?: AbortSignal,
): Promise<LoadReport> {
  const run = new LoadRun(plan.warmUpMs ?? 0);
  try {
    await run.sendAll(buildSchedule(plan), signal);
  } finally {
    await run.close();
  }
  return run.report();
}

class StreamCounts {
  requests = 0;
  right = 0;
  upstreamErrors = 0;
  readonly refusals: Record<string, number> = {};
  readonly latency = new LatencyHistogram();

  report(): StreamReport {
    return {
      requests: this.requests,
      right: this.right,
      refusals: this.refusals,
      upstreamErrors: this.upstreamErrors,
      latency: this.latency.report(),
    };
  }
}

class LoadRun {
  private readonly pools = new Map<string, Pool>();
  private readonly streams = new Map<string, StreamCounts>();
  private readonly unanswered: Record<string, number> = {};
  private readonly lag = new LatencyHistogram();
  private readonly faults: string[] = [];
  private readonly answeredKeys = new Set<string>();
  private readonly notRunKeys = new Set<string>();
  private readonly unknownOutcomeKeys = new Set<string>();
  private wrong = 0;
  private truncated = 0;

  constructor(private readonly warmUpMs: number) {}

  async sendAll(
    schedule: readonly ScheduledCall[],
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const startedAt = performance.now();
    const running = new Set<Promise<void>>();
    for (const call of schedule) {
      const dueAt = startedAt + call.atMs;
      const waitMs = dueAt - performance.now();
      if (waitMs > TIMER_SLACK_MS) await wait(waitMs);
      if (signal?.aborted) break;
      this.lag.record(performance.now() - dueAt);
      const sending = this.send(call);
      running.add(sending);
      void sending.finally(() => running.delete(sending));
    }
    await Promise.all(running);
  }

  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.close()));
  }

  report(): LoadReport {
    const streams = [...this.streams];
    const total = new StreamCounts();
    for (const [, counts] of streams) {
      total.requests += counts.requests;
      total.right += counts.right;
      total.upstreamErrors += counts.upstreamErrors;
      total.latency.merge(counts.latency);
      for (const [reason, count] of Object.entries(counts.refusals)) {
        addCount(total.refusals, reason, count);
      }
    }
    return {
      ...total.report(),
      unanswered: this.unanswered,
      wrong: this.wrong,
      truncated: this.truncated,
      faults: this.faults,
      streams: Object.fromEntries(
        streams.map(([name, counts]) => [name, counts.report()]),
      ),
      generatorLag: this.lag.report(),
      bookings: {answered: this.answeredKeys, notRun: this.listNotRun()},
    };
  }

  private listNotRun(): Set<string> {
    const keys = [...this.notRunKeys].filter(
      key => !this.answeredKeys.has(key) && !this.unknownOutcomeKeys.has(key),
    );
    return new Set(keys);
  }

  private async send(call: ScheduledCall): Promise<void> {
    const counts = this.findCounts(call.stream.name);
    counts.requests += 1;
    const body = buildCallBody(call);
    const startedAt = performance.now();
    let result: AnswerResult;
    try {
      result = await this.sendAndCheck(call, body);
    } catch (error) {
      addCount(this.unanswered, findErrorCode(error));
      if (call.key !== undefined) this.unknownOutcomeKeys.add(call.key);
      return;
    }
    this.record(call, counts, result, performance.now() - startedAt);
  }

  private async sendAndCheck(
    call: ScheduledCall,
    body: CallBody | undefined,
  ): Promise<AnswerResult> {
    const {stream, target} = call;
    const content = body?.content;
    const response = await this.findPool(target.address).request({
      method: METHODS[stream.kind],
      path: `${target.prefix}${call.path}`,
      headers: {
        [REQUEST_ID]: call.id,
        [CALLER_ID]: stream.caller,
        ...(call.key === undefined ? {} : {[IDEMPOTENCY_KEY]: call.key}),
        ...(body ? {'content-length': String(body.length)} : {}),
      },
      body: (typeof content === 'function'
        ? content()
        : content) as Dispatcher.DispatchOptions['body'],
    });
    const text = await response.body.text();
    const {statusCode: status, headers} = response;
    return checkAnswer(call, body, {status, headers, text});
  }

  private record(
    call: ScheduledCall,
    counts: StreamCounts,
    result: AnswerResult,
    latencyMs: number,
  ): void {
    switch (result.kind) {
      case 'right':
        counts.right += 1;
        if (call.key !== undefined) this.answeredKeys.add(call.key);
        if (call.atMs >= this.warmUpMs) counts.latency.record(latencyMs);
        break;
      case 'refused':
        addCount(counts.refusals, result.reason);
        this.recordRefusedKey(call, result.verdict);
        break;
      case 'upstream-error':
        counts.upstreamErrors += 1;
        break;
      case 'wrong':
        this.wrong += 1;
        this.recordFault(call, result.kind, result.detail);
        break;
      case 'truncated':
        this.truncated += 1;
        this.recordFault(call, result.kind, result.detail);
        break;
    }
  }

  private recordRefusedKey(call: ScheduledCall, verdict: string): void {
    if (call.key === undefined) return;
    if (verdict === Verdict.NOT_RUN) this.notRunKeys.add(call.key);
    else this.unknownOutcomeKeys.add(call.key);
  }

  private recordFault(call: ScheduledCall, kind: string, detail: string): void {
    if (this.faults.length >= MAX_KEPT_FAULTS) return;
    this.faults.push(`${kind}: ${call.id}: ${detail}`);
  }

  private findCounts(name: string): StreamCounts {
    let counts = this.streams.get(name);
    if (!counts) {
      counts = new StreamCounts();
      this.streams.set(name, counts);
    }
    return counts;
  }

  private findPool(address: string): Pool {
    let pool = this.pools.get(address);
    if (!pool) {
      pool = new Pool(`http://${address}`, {
        connections: CONNECTIONS_PER_TARGET,
        pipelining: 1,
        headersTimeout: ANSWER_TIMEOUT_MS,
        bodyTimeout: ANSWER_TIMEOUT_MS,
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}

function addCount(
  counts: Record<string, number>,
  name: string,
  amount = 1,
): void {
  counts[name] = (counts[name] ?? 0) + amount;
}

function findErrorCode(error: unknown): string {
  const {code, name} = error as {code?: unknown; name?: unknown};
  return String(code ?? name ?? 'unknown');
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
