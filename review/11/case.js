/* global performance */
/**
 * One machine freezes and wakes again while requesters send idempotent requests
 * with chunked bodies. The workers check the body of what they run.
 */
import {Buffer} from 'node:buffer';
import {HAS_TROUBLE, runCase} from '../stand-ins-3/case.js';
import {waitMs} from '../stand-ins-3/deployment.js';
import {sendRequest} from '../stand-ins-3/requester.js';
import {readBody} from '../stand-ins-3/worker.js';

const WORK_MS = 2500;
const TIME_LIMIT_MS = 8000;
const PART_BYTES = 20_000;
const PARTS = 10;
/** Requests of a round; the four workers that stay have room for all. */
const REQUESTS = 9;
/** Freezes of the same machine, with requesters that send slowly or at once. */
const ROUNDS = [
  {pauseMs: 250, freezeMs: 1800},
  {pauseMs: 0, freezeMs: 1500},
  {pauseMs: 250, freezeMs: 1800},
  {pauseMs: 0, freezeMs: 1500},
];
const CALM_MS = 6000;

/** Worker and size of the body of each run. */
const runs = [];
/** Bodies of the answers that requesters took as a success. */
const successes = new Map();

async function run({id, message, response, worker, record}) {
  let body;
  try {
    body = await readBody(message);
  } catch {
    // An incomplete request, which a worker doesn't run.
    record.add(`incomplete ${id} at ${worker.id}`);
    return;
  }
  const framing = message.headers['transfer-encoding'] ?? 'length';
  record.add(`run ${id} at ${worker.id}: ${body.length} bytes, ${framing}`);
  runs.push({id, body, worker: worker.id});
  await waitMs(WORK_MS);
  response.setHeader('Sequoiaspool-Response-Signature', `signed-${id}`);
  response.end(`stored ${body.length} bytes`);
}

/** Builds the body of a request; each part differs. */
const buildChunks = id =>
  Array.from({length: PARTS}, (_, part) =>
    Buffer.alloc(PART_BYTES, `${id} part ${part} `),
  );

const options = {
  hosts: 11,
  run,
  services: [
    {name: 'desk', health_path: '/healthz', max_connections: 240},
    {name: 'other', health_path: '/healthz', max_connections: 240},
  ],
  workerOptions: index => (index < 6 ? {service: 'other'} : {}),
  routes: [
    {
      name: 'photos',
      path_prefix: '/photos/',
      kind: 'idempotent',
      timeout_ms: 8000,
    },
  ],
};

await runCase(import.meta.url, options, async ({hosts}, record) => {
  const [entry] = hosts;
  const frozen = hosts.at(-1);
  const sent = new Map();
  const send = async (index, pauseMs) => {
    const id = `q${index}`;
    const chunks = buildChunks(id);
    sent.set(id, Buffer.concat(chunks));
    record.add(
      `send ${id}, ${sent.get(id).length} bytes, a part each ${pauseMs} ms`,
    );
    const answer = await sendRequest(entry.outbound, {
      id,
      method: 'PUT',
      path: `/photos/${id}`,
      chunks,
      pauseMs,
      waitMs: TIME_LIMIT_MS,
    });
    const {status, end, body, elapsedMs} = answer;
    if (status === 200) successes.set(id, String(body));
    record.add(`answer ${id} ${status} ${end} "${body}" after ${elapsedMs} ms`);
  };
  for (const [round, {pauseMs, freezeMs}] of ROUNDS.entries()) {
    const startedAt = performance.now();
    if (HAS_TROUBLE) frozen.signal('SIGSTOP');
    const requests = Array.from({length: REQUESTS}, (_, index) =>
      send(round * REQUESTS + index, pauseMs),
    );
    await waitMs(freezeMs - (performance.now() - startedAt));
    if (HAS_TROUBLE) frozen.signal('SIGCONT');
    await Promise.all(requests);
    await waitMs(CALM_MS);
  }
  return runs
    .filter(({id, body}) => !body.equals(sent.get(id)))
    .map(
      ({id, body, worker}) =>
        `UNASKED ${id}: ${worker} ran it with a body of ${body.length} bytes, sent were ${sent.get(id).length}; the requester was told "${successes.get(id) ?? 'no success'}"`,
    );
});
