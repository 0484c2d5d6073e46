/**
 * `route`: where a request would go now and why, asked of one node. Nothing is
 * sent to a worker.
 */
import {request} from 'undici';
import type {
  ExplainedWorker,
  RouteExplanation,
} from '../coordination/routing/route-explanation.js';
import type {SharedFlags} from './control-settings.js';
import {readControlSettings} from './control-settings.js';
import {ControlError, ExitCode} from './exit-codes.js';
import type {Output} from './output.js';

const TIMEOUT_MS = 2000;
const STATUS_OK = 200;
const NOT_FOUND = 404;
const MS_PER_SECOND = 1000;
const PERCENT = 100;

/** The request to explain, as given on the command line. */
export interface RouteOptions {
  readonly host?: string;
  readonly path?: string;
  readonly method?: string;
  readonly rank?: string;
  readonly target?: string;
  readonly nested?: boolean;
}

/**
 * Prints where the first node that answers would send a request.
 *
 * @param flags `timeLimit` is that of the request. Without `node` the nodes of
 *     the settings file are asked.
 * @throws ControlError when no node answers or the request is not valid there.
 */
export async function describeRoute(
  output: Output,
  flags: SharedFlags,
  service: string | undefined,
  options: RouteOptions,
): Promise<void> {
  const {timeLimit, ...others} = flags;
  const nodes = flags.node ?? readControlSettings(others).nodes;
  const query = buildQuery(service, options, timeLimit);
  for (const node of nodes) {
    const explanation = await fetchRoute(node, query);
    if (!explanation) continue;
    const text = formatRoute(node, explanation);
    output.writeResult(text, {node, explanation});
    return;
  }
  throw new ControlError(
    ExitCode.NOT_FOUND,
    `no node answers: ${nodes.join(', ') || 'name one with --node'}`,
  );
}

function buildQuery(
  service: string | undefined,
  {host, path, method, rank, target, nested}: RouteOptions,
  timeLimit: string | undefined,
): URLSearchParams {
  const values = {
    service,
    host,
    path,
    method,
    rank,
    'time-limit': timeLimit,
    target,
    nested: nested ? '1' : undefined,
  };
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries(values))
    if (value !== undefined) query.set(name, value);
  return query;
}

/** Asks one node; undefined if it does not answer. */
async function fetchRoute(
  address: string,
  query: URLSearchParams,
): Promise<RouteExplanation | undefined> {
  let status: number;
  let body: unknown;
  try {
    const answer = await request(`http://${address}/-/route?${query}`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    status = answer.statusCode;
    body = await answer.body.json();
  } catch {
    return undefined;
  }
  if (status === STATUS_OK) return body as RouteExplanation;
  const {error} = body as {error?: string};
  throw new ControlError(
    status === NOT_FOUND ? ExitCode.NOT_FOUND : ExitCode.USAGE,
    `${address}: ${error ?? `status ${status}`}`,
  );
}

function formatRoute(node: string, explanation: RouteExplanation): string {
  const {service, route, dataCentre, rank, isNested} = explanation;
  const {timeLimitMs, targetMs, policy, locality} = explanation;
  const target = targetMs === null ? 'no target' : `target ${targetMs} ms`;
  return [
    `${service} from ${dataCentre} (node ${node}), route ${route}, rank ${rank}${isNested ? ', nested' : ''}`,
    `time limit ${timeLimitMs} ms, ${target}; policy ${policy}, locality ${locality}`,
    formatRefusal(explanation),
    formatShare(explanation),
    formatWait(explanation),
    ...formatTable(explanation.workers.map(formatWorker)),
  ].join('\n');
}

function formatRefusal({refusal}: RouteExplanation): string {
  if (!refusal) return 'refusal: none, the entry would send it';
  const {reason, detail, retryAfterMs, sentAnyway} = refusal;
  const retry =
    retryAfterMs === null
      ? 'no Retry-After'
      : `Retry-After ${retryAfterMs / MS_PER_SECOND} s`;
  const sent =
    sentAnyway > 0
      ? `; ${formatPercent(sentAnyway)} are sent all the same`
      : '';
  const inputs = detail === '' ? '' : ` (${detail})`;
  return `refusal: ${reason}${inputs}, ${retry}${sent}`;
}

function formatShare({share}: RouteExplanation): string {
  if (!share) return 'share that leaves: not kept, all data centres are alike';
  const inputs = Object.entries(share.inputs)
    .map(([name, value]) => `${name} ${value}`)
    .join(', ');
  const age = share.ageMs === null ? '' : `, ${share.ageMs} ms old`;
  return `share that leaves: ${share.share} (before: ${share.before}${age}; ${inputs}); ${formatPercent(share.leaves)} of such requests leave`;
}

function formatWait({expectedWaitMs}: RouteExplanation): string {
  return expectedWaitMs === null
    ? 'expected wait: no worker can be chosen'
    : `expected wait: ${expectedWaitMs} ms`;
}

const HEADER = [
  'worker',
  'data centre',
  'version',
  'state',
  'in flight',
  'queued',
  'limit',
  'pace',
  'service ms',
  'age ms',
  'cost',
  'wait ms',
  'chosen',
  'ruled out by',
];

function formatWorker(worker: ExplainedWorker): string[] {
  const state = worker.isSuspect ? `${worker.state}, suspect` : worker.state;
  const {inFlight, queued, limit, pace, serviceMs, ageMs, cost} = worker;
  const figures = [inFlight, queued, limit, pace, serviceMs, ageMs, cost];
  return [
    worker.node,
    worker.dataCentre,
    worker.version,
    state,
    ...figures.map(value => (value === null ? '-' : String(value))),
    String(worker.waitMs),
    worker.ruledOutBy ? '-' : formatPercent(worker.probability),
    worker.ruledOutBy ?? '',
  ];
}

/** Formats rows in columns below the header. */
function formatTable(rows: readonly string[][]): string[] {
  if (rows.length === 0) return ['no worker of the service is known'];
  const lines = [HEADER, ...rows];
  const widths = HEADER.map((unused, column) =>
    Math.max(...lines.map(line => line[column]!.length)),
  );
  return lines.map(line =>
    line
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join('  ')
      .trimEnd(),
  );
}

function formatPercent(part: number): string {
  return `${Math.round(part * PERCENT)}%`;
}
