/**
 * A faulty worker sends, once, bytes that are not a response. The node beside it
 * must go on answering its requesters.
 */
import {performance} from 'node:perf_hooks';
import {
  BOUNDS,
  buildConfiguration,
  runCase,
  wait,
  waitFor,
} from '../stand-ins.js';

const SERVICE = 'desk';
const ZONES = ['dsm', 'aru', 'mwz'];
const MACHINES = 4;
const HOST = 'desk.example';
const TIMEOUT_MS = 1500;
const DEADLINE_MS = 3000;
/** No status code: it has three digits, but no class. */
const SPOILT = 'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n';
/** The one answer that the faulty worker spoils, of some hundred. */
const SPOILT_RUN = 50;
const CALL_EVERY_MS = 100;
const TRAFFIC_MS = 25_000;
/** What the rule allows a request that is unanswered at its route's limit. */
const SLACK_MS = 500;
const MIN_REQUESTS = 8;

await runCase(import.meta.url, async (deployment, record, hasTrouble) => {
  await deployment.startStore();
  deployment.store.write(
    'config',
    buildConfiguration(
      1,
      [SERVICE],
      [
        {
          name: 'lookups',
          path_prefix: '/lookups/',
          kind: 'idempotent',
          timeout_ms: TIMEOUT_MS,
          service: SERVICE,
        },
      ],
    ),
  );
  let runCount = 0;
  let spoiltAt;
  const spoil = () => {
    runCount += 1;
    if (!hasTrouble || runCount !== SPOILT_RUN) return undefined;
    spoiltAt = record.now();
    return SPOILT;
  };
  for (let index = 0; index < MACHINES; index++) {
    await deployment.addMachine({
      name: `m${index}`,
      zone: ZONES[index % ZONES.length],
      service: SERVICE,
      ...(index === 0 ? {spoil} : {}),
    });
  }
  const {machines} = deployment;
  const calls = [];
  const call = async (machine, number) => {
    const startedAt = performance.now();
    const answer = await machine.call({
      method: 'GET',
      path: `/lookups/${number}`,
      host: HOST,
      deadlineMs: DEADLINE_MS,
    });
    const tookMs = performance.now() - startedAt;
    return {...answer, machine, tookMs};
  };
  await deployment.waitUntilReady();
  await waitFor('served lookups', async () => {
    await wait(300);
    const answers = await Promise.all(machines.map(one => call(one, 0)));
    return answers.every(({status}) => status === 200);
  });
  await wait(BOUNDS.settle_window_ms);

  const endsAt = performance.now() + TRAFFIC_MS;
  for (let number = 1; performance.now() < endsAt; number++) {
    for (const machine of machines) calls.push(call(machine, number));
    await wait(CALL_EVERY_MS);
  }
  const answers = await Promise.all(calls);
  const areReady = await Promise.all(machines.map(one => one.isReady()));
  record.write('ready-at-the-end', {nodes: areReady.join(',')});

  const atTimeout = answers.filter(({tookMs}) => tookMs >= TIMEOUT_MS);
  const late = atTimeout.filter(({tookMs}) => tookMs > TIMEOUT_MS + SLACK_MS);
  const names = [...new Set(late.map(one => one.machine.options.name))];
  const isBroken =
    late.length >= MIN_REQUESTS && late.length * 2 > atTimeout.length;
  return {
    isBroken,
    text:
      `${answers.length} requests, ${atTimeout.length} of them unanswered ` +
      `at ${TIMEOUT_MS} ms, ${late.length} still ${SLACK_MS} ms later ` +
      `(at ${names.join(', ') || 'no machine'}); ` +
      `${areReady.filter(Boolean).length} of ${MACHINES} nodes answer at the ` +
      `end${spoiltAt === undefined ? '' : `, ${Math.round(record.now() - spoiltAt)} ms after the spoilt answer`}`,
  };
});
