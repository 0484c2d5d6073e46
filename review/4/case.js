/**
 * A request that crashes each worker that begins to run it comes again, at any
 * machine. Counts the retries that still reach workers after the third crash.
 */
import {Buffer} from 'node:buffer';
import {setTimeout} from 'node:timers';
import {
  BOUNDS,
  buildConfiguration,
  runCase,
  wait,
  waitFor,
} from '../stand-ins.js';

const SERVICE = 'desk';
const ZONES = ['dsm', 'aru', 'mwz'];
const MACHINES = 8;
const HOST = 'desk.example';
const POISON_PATH = '/bookings/poison';
/** A crashed worker is back after some seconds. */
const BACK_AFTER_MS = 3000;
const RETRY_EVERY_MS = 2000;
const RETRIES = 40;
const MAX_LATE_RETRIES = 3;

await runCase(import.meta.url, async (deployment, record, hasTrouble) => {
  const crashes = [];
  const handleRun = (run, worker) => {
    if (!hasTrouble || run.path !== POISON_PATH) return undefined;
    crashes.push(run.at);
    setTimeout(() => void worker.start(), BACK_AFTER_MS);
    return 'crash';
  };
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
          service: SERVICE,
        },
        {
          name: 'bookings',
          path_prefix: '/bookings/',
          kind: 'non_idempotent',
          service: SERVICE,
        },
      ],
    ),
  );
  for (let index = 0; index < MACHINES; index++) {
    await deployment.addMachine({
      name: `m${index}`,
      zone: ZONES[index % ZONES.length],
      service: SERVICE,
      handleRun,
    });
  }
  const {machines, workers} = deployment;
  await deployment.waitUntilReady();
  await waitFor('served lookups', async () => {
    await wait(300);
    const answers = await Promise.all(
      machines.map(machine =>
        machine.call({
          method: 'GET',
          path: '/lookups/1',
          host: HOST,
          deadlineMs: 1500,
        }),
      ),
    );
    return answers.every(({status}) => status === 200);
  });
  await wait(BOUNDS.settle_window_ms);

  const sent = [];
  for (let index = 0; index < RETRIES; index++) {
    const machine = machines[index % MACHINES];
    const calls = [
      machine.call({
        method: 'POST',
        path: POISON_PATH,
        host: HOST,
        body: Buffer.from('the same booking'),
        deadlineMs: 2000,
      }),
    ];
    // Usual traffic beside it.
    for (const other of machines) {
      calls.push(
        other.call({
          method: 'GET',
          path: `/lookups/${index}`,
          host: HOST,
          deadlineMs: 1500,
        }),
      );
    }
    const [poison] = await Promise.all(calls);
    sent.push(poison);
    await wait(RETRY_EVERY_MS - 200);
  }

  const runs = workers.flatMap(worker => worker.runs);
  const served = sent.filter(({status}) => status === 200).length;
  const third = crashes[2];
  const late = sent.filter(
    ({id, sentAt}) =>
      third !== undefined &&
      sentAt > third + BOUNDS.settle_window_ms &&
      runs.some(run => run.id === id),
  );
  return {
    isBroken: late.length > MAX_LATE_RETRIES,
    text:
      `${crashes.length} crashes by ${sent.length} sends of one request, ` +
      `${served} of them served; ` +
      `${late.length} retries sent over ${BOUNDS.settle_window_ms} ms after ` +
      `the third crash reached a worker, ${MAX_LATE_RETRIES} are allowed`,
  };
});
