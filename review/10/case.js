/**
 * Two machines are stopped in turn. The first has no callers of its own; its
 * worker is at work on bookings that the second took from its callers.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {CallerConnection, HAS_TROUBLE, runCase, sleep} from '../stand-ins-2.js';

const GRACE_S = 6;
/** Time limit and timeout of `stats-export`. */
const LIMIT_MS = 8000;
const TIMEOUT_MS = 4000;
const WORK_MS = 3700;
const GAP_MS = 1000;
const CALLERS = 9;

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
  const {journal} = deployment;
  await deployment.start([{zone: 'a'}, {zone: 'a'}, {zone: 'a'}], {
    routes: {timeout_ms: TIMEOUT_MS, target_latency_ms: 1500},
    bounds: {drain_ms: 2500, expose_share: undefined},
  });
  const [gate, entry] = deployment.machines;
  for (const {worker} of deployment.machines) worker.workMs = 20;
  await sleep(4000);
  const calls = [];
  const call = async number => {
    const id = `booking-${number}`;
    const connection = new CallerConnection(
      entry.callerAddress,
      journal,
      `caller${number}`,
    );
    await connection.opened;
    const sentAt = journal.now();
    const path = `/bookings/${number}`;
    connection.send([{id, method: 'POST', path, limitMs: LIMIT_MS, body: 'x'}]);
    await connection.waitForAnswers(1, LIMIT_MS + 500);
    const [answer] = connection.answers;
    calls.push({id, sentAt, endedAt: journal.now(), answer});
    connection.socket.end();
  };
  // Warm workers are not limited in their rate.
  for (let number = 0; number < 30; number++) await call(number);
  await sleep(1000);
  for (const {worker} of deployment.machines) worker.workMs = WORK_MS;
  const callers = Array.from({length: CALLERS}, (unused, index) =>
    call(100 + index),
  );
  await sleep(300);
  const stop = machine => {
    machine.node.send('SIGTERM');
    return journal.add('SIGTERM', {machine: machine.name}).ms;
  };
  const firstAt = HAS_TROUBLE ? stop(gate) : journal.now();
  await sleep(GAP_MS);
  const stoppedAt = HAS_TROUBLE ? stop(entry) : journal.now();
  await Promise.all(callers);
  await sleep(500);

  const find = (kind, id) =>
    journal.lines.find(line => line.kind === kind && line.id === id);
  const breaches = [];
  for (const {id, sentAt, endedAt, answer} of calls) {
    const run = find('run', id);
    if (endedAt < stoppedAt || run === undefined) continue;
    if (answer?.signature !== undefined) continue;
    const isAtWork = endedAt < run.ms + WORK_MS;
    const isInTime =
      endedAt - sentAt < TIMEOUT_MS &&
      endedAt < stoppedAt + (GRACE_S + 1) * 1000;
    // Work in the last sixth of the time for a stop is excused.
    const isLast = endedAt >= firstAt + (GRACE_S * 1000 * 5) / 6;
    if (!isAtWork || !isInTime || isLast) continue;
    breaches.push(
      `LOST: ${id}, sent ${stoppedAt - sentAt} ms before the SIGTERM of the ` +
        `machine that took it, got ${answer?.status ?? 'no answer'} ` +
        `${endedAt - stoppedAt} ms after it, while ${run.worker} was at work`,
    );
  }
  return breaches;
});
