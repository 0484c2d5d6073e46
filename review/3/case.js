/**
 * A worker leaves while one of its check-ins is late, and the node on its
 * machine is killed and started again before that check-in arrives.
 */
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
/** How late the check-in is. */
const LATE_MS = 4000;
/** From the confirmed leaving to the kill. */
const KILL_AFTER_MS = 300;
/** The platform's delay before it starts a killed process again. */
const RESTART_AFTER_MS = 300;
/** How long the worker still serves: `drain_ms` and some seconds more. */
const SERVES_ON_MS = 10_000;
const CALL_EVERY_MS = 100;

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
    });
  }
  const {machines} = deployment;
  const callAll = number =>
    Promise.all(
      machines.map(machine =>
        machine.call({
          method: 'GET',
          path: `/lookups/${number}`,
          host: HOST,
          deadlineMs: 1500,
        }),
      ),
    );
  await deployment.waitUntilReady();
  await waitFor('served lookups', async () => {
    await wait(300);
    return (await callAll(0)).every(({status}) => status === 200);
  });
  await wait(BOUNDS.settle_window_ms);

  const [machine] = machines;
  const {worker} = machine;
  const late = worker.buildBeat();
  const leftAt = record.now();
  record.write('check-in-is-late', {
    sequence: late.sequence,
    state: late.state,
  });
  const status = await worker.deregister();
  if (status !== 200) throw new Error(`leaving answered with ${status}`);
  const confirmedAt = record.now();

  let isOver = false;
  const traffic = (async () => {
    for (let number = 1; !isOver; number++) {
      void callAll(number);
      await wait(CALL_EVERY_MS);
    }
  })();
  let backAt = confirmedAt;
  if (hasTrouble) {
    await wait(KILL_AFTER_MS);
    machine.signal('SIGKILL');
    await machine.ended;
    await wait(RESTART_AFTER_MS);
    machine.startNode();
    await waitFor('the node to be back', () =>
      machine.isReady().catch(() => false),
    );
    backAt = record.now();
    record.write('node-is-ready-again');
  }
  await wait(Math.max(0, leftAt + LATE_MS - record.now()));
  record.write('late-check-in-arrives', {
    status: await worker.beat(late),
    sequence: late.sequence,
  });
  await wait(Math.max(0, confirmedAt + SERVES_ON_MS - record.now()));
  isOver = true;
  await traffic;
  worker.crash();
  await wait(2000);

  // Of a machine in touch: its node has run for the whole window.
  const boundAt = Math.max(
    confirmedAt + BOUNDS.drain_ms,
    backAt + (hasTrouble ? BOUNDS.settle_window_ms : 0),
  );
  const runs = worker.runs.filter(({at}) => at > boundAt);
  const lastMs = runs.length > 0 ? runs.at(-1).at - confirmedAt : 0;
  return {
    isBroken: runs.length > 0,
    text:
      `${runs.length} requests reached the worker later than ` +
      `${BOUNDS.drain_ms} ms after its confirmed leaving, sent by machines in ` +
      `touch; the last ${Math.round(lastMs)} ms after it`,
  };
});
