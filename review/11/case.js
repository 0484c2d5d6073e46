/* global performance */
/**
 * One machine is stopped by SIGTERM in calm, while answers to its requesters are
 * being streamed. The requesters keep their connections and send the next
 * request as the answer's own headers allow.
 */
import {Agent} from 'node:http';
import {HAS_TROUBLE, runCase} from '../stand-ins-3/case.js';
import {waitMs} from '../stand-ins-3/deployment.js';
import {sendRequest} from '../stand-ins-3/requester.js';
import {readBody} from '../stand-ins-3/worker.js';

const GRACE_MS = 6000;
const LOSS_SLACK_MS = 200;
const REQUESTERS = 12;
const TIME_LIMIT_MS = 12_000;
const PART_BYTES = 10_000;
const PARTS = 16;
const PART_MS = 40;
/** Time without readiness after which requesters send a machine nothing new. */
const TWO_MISSES_MS = 2000;

const runs = new Map();

async function run({id, message, response, record}) {
  await readBody(message);
  runs.set(id, (runs.get(id) ?? 0) + 1);
  record.add(`run ${id}`);
  response.setHeader('Sequoiaspool-Response-Signature', `signed-${id}`);
  response.setHeader('Content-Length', String(PARTS * PART_BYTES));
  for (let part = 0; part < PARTS; part++) {
    response.write('x'.repeat(PART_BYTES));
    await waitMs(PART_MS);
  }
  response.end();
}

const options = {
  hosts: 6,
  slots: 12,
  run,
  services: [
    {name: 'desk', health_path: '/healthz', max_connections: 240},
    {name: 'other', health_path: '/healthz', max_connections: 240},
  ],
  workerOptions: index => (index === 0 ? {service: 'other'} : {}),
  routes: [
    {
      name: 'files',
      path_prefix: '/files/',
      kind: 'idempotent',
      timeout_ms: 12_000,
    },
  ],
};

await runCase(import.meta.url, options, async ({hosts}, record) => {
  const [host] = hosts;
  const results = [];
  let count = 0;
  let isSending = true;
  const send = async requester => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    await waitMs(requester * 50);
    while (isSending) {
      const id = `q${count++}`;
      const sentAt = performance.now();
      record.add(`send ${id} by requester ${requester}`);
      const path = `/files/${id}`;
      const answer = await sendRequest(host.outbound, {
        id,
        path,
        agent,
        waitMs: TIME_LIMIT_MS,
      });
      const {status, end, body, elapsedMs, headers} = answer;
      const kept = `${headers.connection ?? ''} ${headers['keep-alive'] ?? ''}`;
      record.add(
        `answer ${id} ${status} ${end}, ${body.length} bytes, ${elapsedMs} ms, runs ${runs.get(id) ?? 0}, ${kept}`,
      );
      results.push({sentAt, ...answer});
      if (status !== 200) await waitMs(100);
    }
    agent.destroy();
  };
  const requesters = Array.from({length: REQUESTERS}, (_, index) =>
    send(index),
  );
  await waitMs(4000);
  const stoppedAt = performance.now();
  if (HAS_TROUBLE) {
    host.signal('SIGTERM');
    host.isWanted = false;
  }
  await waitMs(TWO_MISSES_MS);
  isSending = false;
  await waitMs(GRACE_MS - TWO_MISSES_MS);
  if (HAS_TROUBLE) host.child.kill('SIGKILL');
  await Promise.all(requesters);
  // LOST, planned work: a whole request was read and its connection ended
  // without a complete answer, before its time limit; it was passed on, or the
  // connection ended later than loss_slack_ms after the last byte was sent.
  return results
    .filter(({sentAt}) => sentAt < stoppedAt + GRACE_MS + 1000)
    .filter(({end, status}) => end !== 'complete' || status === 0)
    .filter(({elapsedMs}) => elapsedMs < TIME_LIMIT_MS)
    .filter(({id, end, elapsedMs}) => {
      if (end.includes('ECONNREFUSED')) return false;
      return runs.has(id) || elapsedMs > LOSS_SLACK_MS;
    })
    .map(({id, sentAt, elapsedMs, end}) => {
      const after = Math.round(sentAt - stoppedAt);
      return `LOST ${id}: sent ${after} ms after the SIGTERM, ${end} after ${elapsedMs} ms, runs ${runs.get(id) ?? 0}`;
    });
});
