/**
 * `move start|status|take-back`: moves of a service's traffic from one version
 * to another.
 */
import {randomUUID} from 'node:crypto';
import {waitMs} from '../protocol/backoff.js';
import {buildDurationSchema} from '../protocol/quantities.js';
import type {Move} from '../state/replicated-state.js';
import type {ControlClient} from './control-client.js';
import {ControlError, ExitCode} from './exit-codes.js';
import {formatInForce} from './publish.js';

const FOLLOW_POLL_INTERVAL_MS = 500;
const MAX_MOVE_DURATION_MS = 7 * 24 * 3_600_000;
const moveTimeSchema = buildDurationSchema(1000, MAX_MOVE_DURATION_MS);

/** Options of a new move. */
export interface MoveStartOptions {
  readonly service: string;
  readonly from?: string | undefined;
  readonly to: string;
  /** A time such as `2026-12-04T08:00:00Z`, or a duration such as `10m`. */
  readonly by: string;
  readonly follow: boolean;
}

/** Starts a move and, with `follow`, follows it to its end. */
export async function startMove(
  client: ControlClient,
  start: MoveStartOptions,
): Promise<void> {
  const doneByMs = parseMoveTime(start.by, Date.now());
  await client.refreshState();
  const {service, to} = start;
  const known = client.state.findMove(service);
  if (known?.stage === 'running') {
    throw new ControlError(
      ExitCode.SUPERSEDED,
      `superseded: ${formatMove(service, known)}; nothing was changed`,
    );
  }
  const moveId = randomUUID();
  const submission = await client.publishRecord({
    kind: 'move-start',
    buildsOn: known?.number ?? 0,
    service,
    moveId,
    fromVersion: start.from ?? findCurrentVersion(client, service),
    toVersion: to,
    doneByMs,
  });
  if (start.follow) return watchMove(client, service);
  client.output.writeResult(
    `move of ${service} to ${to} started: ${formatInForce(submission)}`,
    {service, moveId, doneByMs, ...submission},
  );
}

/** Takes the running move of a service back. */
export async function takeMoveBack(
  client: ControlClient,
  service: string,
  why: string,
): Promise<void> {
  await client.refreshState();
  const move = findMove(client, service);
  if (move.stage !== 'running') {
    throw new ControlError(
      ExitCode.SUPERSEDED,
      `${formatMove(service, move)}; nothing was changed`,
    );
  }
  const submission = await client.publishRecord({
    kind: 'move-end',
    buildsOn: move.number,
    service,
    moveId: move.moveId,
    outcome: 'taken-back',
    evidence: why,
  });
  client.output.writeResult(
    `move of ${service} taken back: ${formatInForce(submission)}`,
    {service, moveId: move.moveId, ...submission},
  );
}

/** Shows the newest move of a service. */
export async function reportMove(
  client: ControlClient,
  service: string,
  follow: boolean,
): Promise<void> {
  if (follow) return watchMove(client, service);
  await client.refreshState();
  const move = findMove(client, service);
  client.output.writeResult(formatMove(service, move), {service, ...move});
}

/**
 * Follows a move until it has ended.
 *
 * @throws ControlError when it was taken back.
 */
async function watchMove(
  client: ControlClient,
  service: string,
): Promise<void> {
  for (;;) {
    await client.refreshState();
    const move = findMove(client, service);
    const text = formatMove(service, move);
    if (move.stage === 'done') {
      client.output.writeResult(text, {service, ...move});
      return;
    }
    if (move.stage === 'taken-back') {
      throw new ControlError(ExitCode.TAKEN_BACK, text);
    }
    client.output.reportProgress(text);
    await waitMs(FOLLOW_POLL_INTERVAL_MS);
  }
}

function findMove(client: ControlClient, service: string): Move {
  const move = client.state.findMove(service);
  if (move) return move;
  throw new ControlError(ExitCode.NOT_FOUND, `no move of ${service}`);
}

/** Returns the version that has all traffic: of the last move or configured. */
function findCurrentVersion(client: ControlClient, service: string): string {
  const move = client.state.findMove(service);
  if (move) return move.stage === 'done' ? move.toVersion : move.fromVersion;
  const version = client.state.findServiceVersion(service);
  if (version !== undefined) return version;
  throw new ControlError(
    ExitCode.USAGE,
    `the version of ${service} is not configured; name it with --from`,
  );
}

function parseMoveTime(text: string, nowMs: number): number {
  const duration = moveTimeSchema.safeParse(text);
  if (duration.success) return nowMs + duration.data;
  const at = Date.parse(text);
  if (at > nowMs) return at;
  throw new ControlError(
    ExitCode.USAGE,
    `--by "${text}" is not a time in the future; allowed: a time such as "2026-12-04T08:00:00Z" or a duration such as "10m"`,
  );
}

/** Formats a move as text for operators. */
export function formatMove(service: string, move: Move): string {
  const path = `${service} ${move.fromVersion} to ${move.toVersion}`;
  const by = new Date(move.doneByMs).toISOString();
  const evidence = move.evidence ? `; evidence: ${move.evidence}` : '';
  return `move ${path}: ${move.stage}, ${move.sharePercent}% by ${by}${evidence}`;
}
