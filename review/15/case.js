/**
 * A worker ends and its address goes to a worker of another service. The settings
 * file of the machine names the new service, and its node gets SIGHUP.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {Buffer} from 'node:buffer';
import {HAS_TROUBLE, runCase} from '../stand-ins-3/case.js';
import {waitMs} from '../stand-ins-3/deployment.js';
import {sendRequest} from '../stand-ins-3/requester.js';
import {readBody, Worker} from '../stand-ins-3/worker.js';

const REUSE_AFTER_MS = 2000;
const SETTLE_WINDOW_MS = 3000;
const REQUESTS = 20;
const TIME_LIMIT_MS = 2000;

const runs = [];

async function run({id, message, response, worker, record}) {
  await readBody(message);
  const caller = message.headers['sequoiaspool-caller-service'];
  record.add(`run ${id} at ${worker.id}, caller ${caller}`);
  runs.push({id, caller, worker: worker.id});
  response.setHeader('Sequoiaspool-Response-Signature', `signed-${id}`);
  response.end('done');
}

const options = {
  hosts: 7,
  run,
  services: [
    {name: 'desk', health_path: '/healthz', max_connections: 240},
    {name: 'archive', health_path: '/healthz', max_connections: 240},
  ],
  workerOptions: index => (index === 3 ? {service: 'archive'} : {}),
  routes: [
    {
      name: 'bookings',
      path_prefix: '/bookings/',
      kind: 'non_idempotent',
      timeout_ms: 1500,
    },
    {
      name: 'photos',
      path_prefix: '/photos/',
      kind: 'non_idempotent',
      service: 'archive',
      timeout_ms: 1500,
    },
  ],
};

await runCase(import.meta.url, options, async ({hosts}, record) => {
  const [host] = hosts;
  let service = 'desk';
  if (HAS_TROUBLE) {
    const {options: old} = host.worker;
    await host.worker.stop();
    record.add('the worker has ended');
    await waitMs(REUSE_AFTER_MS);
    service = 'archive';
    host.worker = new Worker({...old, service});
    const text = readFileSync(host.settingsFile, 'utf8');
    writeFileSync(
      host.settingsFile,
      text.replace('service = "desk"', 'service = "archive"'),
    );
    host.signal('SIGHUP');
    await host.worker.start();
    record.add(`a worker of ${service} has the address`);
  }
  await waitMs(2 * SETTLE_WINDOW_MS);
  for (let index = 0; index < REQUESTS; index++) {
    const id = `q${index}`;
    const path = `/${index % 2 === 0 ? 'bookings' : 'photos'}/${id}`;
    const body = Buffer.from('x');
    const answer = await sendRequest(host.outbound, {
      id,
      method: 'POST',
      path,
      body,
      waitMs: TIME_LIMIT_MS,
    });
    record.add(`answer ${id} ${answer.status} ${answer.end}`);
    await waitMs(50);
  }
  return runs
    .filter(({caller}) => caller !== service)
    .map(
      ({id, caller, worker}) =>
        `UNASKED ${id}: ${worker} ran it with caller service ${caller}; it began on a machine of ${service}`,
    );
});
