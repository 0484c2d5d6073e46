/**
 * Workers become cold again while they serve. Counts what a cold worker gets in
 * any second of its cold time; it crashes when that is above the bound.
 */
import {dirname} from 'node:path';
import {performance} from 'node:perf_hooks';
import {fileURLToPath} from 'node:url';
import {CallerConnection, HAS_TROUBLE, runCase, sleep} from '../stand-ins-2.js';

const COLD_PER_S = 5.7;
const COLD_OVER = 1.5;
const COLD_SLACK = 5;
const BOUND = COLD_PER_S * COLD_OVER + COLD_SLACK;
const COLD_MS = 3000;
const WINDOW_MS = 1000;
/** Work of one request; six slots then serve 109 requests a second. */
const WORK_MS = 55;
const LOOKUPS_PER_S_AND_WORKER = 80;
const BOOKINGS_PER_S = 20;
const CONNECTIONS_PER_MACHINE = 24;
const LIMIT_MS = 600;
const WARM_UP_MS = 6000;
const EPISODES = 14;
const PAUSE_MS = 2500;
const RESTART_MS = 1500;

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
  const {journal} = deployment;
  await deployment.start([{zone: 'a'}, {zone: 'a'}, {zone: 'a'}, {zone: 'a'}], {
    routes: {timeout_ms: LIMIT_MS, target_latency_ms: 150},
  });
  const {machines} = deployment;
  const sentAt = new Map();
  const breaches = [];
  const bookings = [];
  let isOver = false;

  for (const {worker} of machines) {
    worker.workMs = WORK_MS;
    worker.crashes = 0;
    let arrivals = [];
    const serve = worker.serve.bind(worker);
    worker.serve = (message, response) => {
      const id = message.headers['sequoiaspool-attempt-id'];
      const now = performance.now();
      const isCold = Date.now() < worker.coldUntil;
      if (!isCold) arrivals = [];
      if (isCold && id !== undefined) {
        const start = Math.max(worker.coldSince, now - WINDOW_MS);
        arrivals = arrivals.filter(
          ({at, sent}) => at >= start && sent >= start,
        );
        const sent = sentAt.get(id) ?? 0;
        if (sent >= start) arrivals.push({at: now, sent});
        if (arrivals.length > BOUND) {
          breaches.push(
            `FAILBACK: ${worker.id} got ${arrivals.length} requests in ` +
              `${Math.round(now - start)} ms while cold; the bound is ${BOUND.toFixed(2)} in a second`,
          );
          arrivals = [];
          journal.add('crash', {worker: worker.id, running: worker.running});
          void restart(worker);
          return;
        }
      }
      serve(message, response);
    };
  }

  const restart = async worker => {
    worker.crashes += 1;
    await worker.crash();
    await sleep(RESTART_MS);
    worker.coldSince = performance.now();
    worker.coldUntil = Date.now() + COLD_MS;
    await worker.start();
  };

  let count = 0;
  const pools = machines.map(machine => ({machine, free: [], open: 0}));
  const sendOne = async (pool, method, path) => {
    let connection = pool.free.pop();
    if (!connection || connection.isClosed || connection.isClosing) {
      if (pool.open >= CONNECTIONS_PER_MACHINE) return;
      connection = new CallerConnection(pool.machine.callerAddress, journal);
      pool.open += 1;
      void connection.closed.then(() => (pool.open -= 1));
      if (!(await connection.opened)) return;
    }
    count += 1;
    const id = `${method}-${count}`;
    const before = connection.answers.length;
    const body = method === 'POST' ? 'x' : undefined;
    connection.send([{id, method, path, limitMs: LIMIT_MS, body}]);
    sentAt.set(id, performance.now());
    await connection.waitForAnswers(before + 1, LIMIT_MS + 300);
    const answer = connection.answers[before];
    if (method === 'POST') bookings.push({id, status: answer?.status});
    if (answer) pool.free.push(connection);
    else connection.socket.destroy();
  };
  const sendRegularly = async (perSecond, method, prefix) => {
    const startedAt = performance.now();
    for (let sent = 0; !isOver;) {
      const due = ((performance.now() - startedAt) / 1000) * perSecond;
      for (; sent < due; sent++) {
        const pool = pools[sent % pools.length];
        void sendOne(pool, method, `${prefix}${sent}`);
      }
      await sleep(4);
    }
  };
  const lookups = LOOKUPS_PER_S_AND_WORKER * machines.length;
  void sendRegularly(lookups, 'GET', '/lookups/');
  void sendRegularly(BOOKINGS_PER_S, 'POST', '/bookings/');
  await sleep(WARM_UP_MS);
  for (let episode = 0; episode < EPISODES; episode++) {
    // Not in step with anything that the node does at fixed intervals.
    await sleep(PAUSE_MS + Math.random() * 500);
    const {worker} = machines[episode % machines.length];
    if (!HAS_TROUBLE || !worker.isUp) continue;
    worker.coldSince = performance.now();
    worker.coldUntil = Date.now() + COLD_MS;
    journal.add('cold', {worker: worker.id});
  }
  await sleep(COLD_MS);
  isOver = true;
  await sleep(LIMIT_MS + 500);
  const statuses = {};
  for (const {status} of bookings)
    statuses[status] = (statuses[status] ?? 0) + 1;
  journal.add('summary', {sent: count, bookings: statuses});
  return breaches;
});
