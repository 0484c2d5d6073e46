/* global performance */
/**
 * One machine is stopped by SIGTERM in calm, while its worker runs long requests
 * that make short calls through it.
 */
import {HAS_TROUBLE, runCase} from '../stand-ins-3/case.js';
import {waitMs} from '../stand-ins-3/deployment.js';
import {sendRequest} from '../stand-ins-3/requester.js';
import {readBody} from '../stand-ins-3/worker.js';

const GRACE_MS = 6000;
const LOSS_SLACK_MS = 200;
const PARENT_TIME_LIMIT_MS = 8000;
const PARENT_WORK_MS = 7500;
const CALL_WORK_MS = 350;
const CALL_PAUSE_MS = 30;
const PARENTS = 8;
const DESK_WORKERS = 2;
/** Pause between the first sends, so that calls are not in step. */
const STAGGER_MS = 45;
/** Time after the SIGTERM until which requests may be cut at the end. */
const EARLY_MS = 3000;

const runs = new Map();
const calls = [];
let callCount = 0;
/** Outbound addresses by the port of the worker on the same machine. */
const outboundByPort = new Map();

/** Makes calls one after the other while a request runs. */
async function makeCalls(parentId, worker, endsAt, record) {
  const address = outboundByPort.get(worker.options.port);
  while (performance.now() + CALL_WORK_MS + 200 < endsAt) {
    const id = `call${callCount++}`;
    const sentAt = performance.now();
    const leftMs = Math.floor(endsAt - sentAt);
    record.add(`send ${id} of ${parentId} to ${address}`);
    const answer = await sendRequest(address, {
      id,
      path: `/lookups/${id}`,
      waitMs: leftMs,
    });
    const {status, end, elapsedMs} = answer;
    record.add(
      `answer ${id} ${status} ${end} after ${elapsedMs} ms, runs ${runs.get(id)?.length ?? 0}`,
    );
    calls.push({...answer, sentAt, leftMs, address});
    await waitMs(CALL_PAUSE_MS);
  }
}

async function run({id, message, response, worker, record}) {
  await readBody(message);
  record.add(`run ${id} at ${worker.id}`);
  runs.set(id, [...(runs.get(id) ?? []), worker.id]);
  const givenMs = Number(message.headers['sequoiaspool-deadline-remaining-ms']);
  if (id.startsWith('call')) await waitMs(CALL_WORK_MS);
  else {
    const endsAt = performance.now() + Math.min(givenMs, PARENT_WORK_MS);
    await makeCalls(id, worker, endsAt, record);
    await waitMs(endsAt - performance.now());
  }
  if (response.destroyed) return;
  response.setHeader('Sequoiaspool-Response-Signature', `signed-${id}`);
  response.end('done');
}

const options = {
  hosts: 6,
  slots: 6,
  run,
  services: [
    {name: 'desk', health_path: '/healthz', max_connections: 240},
    {name: 'media', health_path: '/healthz', max_connections: 240},
  ],
  workerOptions: index => ({
    service: index < DESK_WORKERS ? 'desk' : 'media',
    slots: index < DESK_WORKERS ? 6 : 30,
  }),
  routes: [
    {
      name: 'exports',
      path_prefix: '/exports/',
      kind: 'idempotent',
      timeout_ms: PARENT_TIME_LIMIT_MS,
      target_latency_ms: 8000,
    },
    {
      name: 'lookups',
      path_prefix: '/lookups/',
      kind: 'idempotent',
      service: 'media',
      timeout_ms: 2000,
      target_latency_ms: 1000,
    },
  ],
};

await runCase(import.meta.url, options, async ({hosts}, record) => {
  for (const {worker, outbound} of hosts)
    outboundByPort.set(worker.options.port, outbound);
  const [stopped] = hosts;
  const entry = hosts.at(-1);
  const send = async (id, delayMs) => {
    await waitMs(delayMs);
    record.add(`send ${id}`);
    const answer = await sendRequest(entry.outbound, {
      id,
      path: `/exports/${id}`,
      waitMs: PARENT_TIME_LIMIT_MS,
    });
    record.add(
      `answer ${id} ${answer.status} ${answer.end} after ${answer.elapsedMs} ms`,
    );
  };
  const parents = Array.from({length: PARENTS}, (_, index) =>
    send(`q${index}`, index * STAGGER_MS),
  );
  await waitMs(700);
  const stoppedAt = performance.now();
  if (HAS_TROUBLE) {
    stopped.signal('SIGTERM');
    stopped.isWanted = false;
  }
  await waitMs(GRACE_MS);
  if (HAS_TROUBLE) stopped.child.kill('SIGKILL');
  await Promise.all(parents);
  await waitMs(500);
  // LOST, planned work: only calls that the stopped machine took. Not counted is
  // a call that was sent no later than 3 s after the SIGTERM, as its worker may
  // be at work in the last sixth of the grace.
  return calls
    .filter(({address}) => address === stopped.outbound)
    .filter(
      ({end, elapsedMs, leftMs}) => end !== 'complete' && elapsedMs < leftMs,
    )
    .filter(({id, elapsedMs}) => runs.has(id) || elapsedMs > LOSS_SLACK_MS)
    .filter(({end}) => !end.includes('ECONNREFUSED'))
    .filter(({sentAt}) => sentAt > stoppedAt + EARLY_MS)
    .map(({id, sentAt, end, elapsedMs, leftMs}) => {
      const after = Math.round(sentAt - stoppedAt);
      return `LOST ${id}: sent ${after} ms after the SIGTERM with ${leftMs} ms left, ${end} after ${elapsedMs} ms, run by ${runs.get(id) ?? 'none'}`;
    });
});
